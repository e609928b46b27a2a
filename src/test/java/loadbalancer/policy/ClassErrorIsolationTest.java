package loadbalancer.policy;

import static loadbalancer.policy.RequestClasses.HIGH_PRIORITY;
import static loadbalancer.policy.RequestClasses.LOW_PRIORITY;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Errors of one class leave the other classes alone. */
class ClassErrorIsolationTest {
    private static PolicyHarness harness() {
        PolicySettings settings = SettingsBuilder.forClasses(HIGH_PRIORITY, LOW_PRIORITY)
                .endpointListPushed()
                .build();
        return PolicyHarness.started(settings, 5, Endpoints.fleet(4));
    }

    @Test
    void divertsOnlyTheClassThatFailsAtAnEndpoint() {
        TrafficCounts counts = Traffic.every(10, harness())
                .endingAs((endpoint, classIndex) ->
                        endpoint.equals("s2") && classIndex == 0 ? AttemptOutcome.ERROR : AttemptOutcome.SUCCESS)
                .run(1, 20_000);
        assertTrue(
                counts.firstAttempts("s2", 0) < counts.firstAttempts("s1", 0) / 3,
                "the class that fails there goes elsewhere: " + counts);
        assertTrue(
                counts.firstAttempts("s2", 1) > counts.firstAttempts("s1", 1) / 2,
                "the class that it serves still comes: " + counts);
    }

    @Test
    void servesOtherClassesWhenOneFailsEverywhere() {
        PolicyHarness harness = harness();
        Traffic.every(10, harness)
                .endingAs((endpoint, classIndex) -> classIndex == 0 ? AttemptOutcome.ERROR : AttemptOutcome.SUCCESS)
                .run(1, 20_000);
        long unserved = harness.requests().stream()
                .filter(request -> request.classIndex() == 1 && harness.answered(request))
                .count();
        assertTrue(unserved < 20, "of 1000 of the class that succeeds, not served: " + unserved);
        TrafficCounts counts = Traffic.every(10, harness).run(60_000, 80_000);
        assertTrue(counts.notForwarded() < 50, "and the class is back within a minute after recovery: " + counts);
    }
}
