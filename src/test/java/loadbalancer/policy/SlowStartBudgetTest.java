package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** How the tokens of an endpoint that warms up follow its age, the warm rate and the overload rules. */
class SlowStartBudgetTest {
    private static final double START = 1000;
    private static final double WARM_PER_MILLI = 0.01;

    private final SlowStartBudget budget = budget(3);

    /** A fifth of the capacity at the start, all of it after 20 s. */
    private static SlowStartBudget budget(double overloadMultiple) {
        OperatorRules rules = new OperatorRules(1000, overloadMultiple, 1000, 0.2, 20_000, 10_000);
        return new SlowStartBudget(rules, new SplittableRandom(1));
    }

    private static EndpointState startingEndpoint() {
        return PolicyStates.endpoint(Endpoints.startedAt("s0", START), 0, START);
    }

    private static boolean takeAsFirstChoice(SlowStartBudget budget, double nowMillis, EndpointState endpoint) {
        return budget.tryTake(nowMillis, endpoint, true, 1, 1);
    }

    @Test
    void capacityGrowsLinearlyWithAge() {
        EndpointState endpoint = startingEndpoint();
        assertEquals(0.2, budget.capacityFraction(START - 500, endpoint), 1e-9);
        assertEquals(0.2, budget.capacityFraction(START, endpoint), 1e-9);
        assertEquals(0.6, budget.capacityFraction(START + 10_000, endpoint), 1e-9);
        assertEquals(1, budget.capacityFraction(START + 20_000, endpoint));
    }

    @Test
    void warmEndpointNeedsNoToken() {
        EndpointState endpoint = PolicyStates.readyEndpoint("s0");
        for (int i = 0; i < 100; i++) {
            assertTrue(budget.tryTake(START, endpoint, false, 1, 1));
        }
    }

    @Test
    void limitsFirstChoicesByOverloadMultiple() {
        // 0.375 x 3 x capacity x 0.01 a millisecond: 0.972 tokens after 400 ms, 1.02 after 420 ms.
        budget.assumeWarmRate(WARM_PER_MILLI);
        EndpointState endpoint = startingEndpoint();
        assertFalse(takeAsFirstChoice(budget, START, endpoint));
        assertFalse(takeAsFirstChoice(budget, START + 400, endpoint));
        assertTrue(takeAsFirstChoice(budget, START + 420, endpoint));
        assertFalse(takeAsFirstChoice(budget, START + 420, endpoint));
    }

    @Test
    void limitsFirstChoicesByWarmRateWhenMultipleIsHigh() {
        // 1.5 x capacity x 0.01 a millisecond: 0.954 tokens after 300 ms, 1.02 after 320 ms.
        SlowStartBudget highMultiple = budget(10);
        highMultiple.assumeWarmRate(WARM_PER_MILLI);
        EndpointState endpoint = startingEndpoint();
        assertFalse(takeAsFirstChoice(highMultiple, START + 300, endpoint));
        assertTrue(takeAsFirstChoice(highMultiple, START + 320, endpoint));
    }

    @Test
    void savesOneTokenAndAHalf() {
        // After 10 s the bucket is full; then 0.00678 tokens come a millisecond.
        budget.assumeWarmRate(WARM_PER_MILLI);
        EndpointState endpoint = startingEndpoint();
        assertTrue(takeAsFirstChoice(budget, START + 10_000, endpoint));
        assertFalse(takeAsFirstChoice(budget, START + 10_000, endpoint));
        assertFalse(takeAsFirstChoice(budget, START + 10_060, endpoint));
        assertTrue(takeAsFirstChoice(budget, START + 10_080, endpoint));
    }

    @Test
    void passesLaterChoicesByPartOfOverloadBudget() {
        // At a capacity of 0.8: 0.375 x 3 x 0.8 x 0.0001 x 1000 ms = 0.09 of those that have a token.
        budget.assumeWarmRate(WARM_PER_MILLI / 100);
        assertEquals(1000, takenOfThousand(true, 1, 1));
        int laterChoices = takenOfThousand(false, 1, 1);
        assertTrue(laterChoices > 60 && laterChoices < 120, "about 90: " + laterChoices);
        int ofWholeFleet = takenOfThousand(false, 3, 30);
        assertTrue(ofWholeFleet > 0 && ofWholeFleet < 25, "about 9: " + ofWholeFleet);
    }

    private int takenOfThousand(boolean firstChoice, int subsetSize, int candidates) {
        int taken = 0;
        for (int i = 0; i < 1000; i++) {
            taken += budget.tryTake(START + 15_000, startingEndpoint(), firstChoice, subsetSize, candidates) ? 1 : 0;
        }
        return taken;
    }

    @Test
    void learnsWarmRateFromWarmEndpointsThatAreNotShutOut() {
        EndpointState warm = PolicyStates.readyEndpoint("s1");
        PolicyStates.forwardAtRate(warm, 1);
        EndpointState shutOut = PolicyStates.readyEndpoint("s2");
        dropHalf(shutOut);
        EndpointState starting = startingEndpoint();
        assertTrue(budget.warmRateUnknown());
        budget.learnWarmRate(START, new EndpointState[] {shutOut, starting});
        assertTrue(budget.warmRateUnknown());
        budget.learnWarmRate(START, new EndpointState[] {warm, shutOut, starting});
        assertFalse(budget.warmRateUnknown());
        // A period weighs 0.05: 1.125 x capacity x 0.05 a millisecond, 0.91 tokens after 80 ms, 1.02 after 90 ms.
        assertFalse(takeAsFirstChoice(budget, START + 80, starting));
        assertTrue(takeAsFirstChoice(budget, START + 90, starting));
    }

    private static void dropHalf(EndpointState endpoint) {
        endpoint.drop().evidence().add(1, 8);
        endpoint.drop().step(new OutcomeEvidence(), new OutcomeEvidence(), 1, 1);
        assertEquals(0.5, endpoint.drop().dropFraction());
    }

    @Test
    void keepsWarmRateWhenNoWarmEndpointIsLeft() {
        EndpointState warm = PolicyStates.readyEndpoint("s1");
        PolicyStates.forwardAtRate(warm, 1);
        budget.learnWarmRate(START, new EndpointState[] {warm});
        EndpointState starting = startingEndpoint();
        for (int i = 0; i < 100; i++) {
            budget.learnWarmRate(START, new EndpointState[] {starting});
        }
        assertFalse(budget.warmRateUnknown());
        assertTrue(takeAsFirstChoice(budget, START + 90, starting));
    }
}
