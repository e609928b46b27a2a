package loadbalancer.policy;

import static loadbalancer.policy.SlowStartScenario.Disturbance.BURSTS;
import static loadbalancer.policy.SlowStartScenario.Disturbance.CLIENT_RETRIES;
import static loadbalancer.policy.SlowStartScenario.Disturbance.IDLE;
import static loadbalancer.policy.SlowStartScenario.Disturbance.JOINING;
import static loadbalancer.policy.SlowStartScenario.Disturbance.RESETS;
import static loadbalancer.policy.SlowStartScenario.Disturbance.ROLLING;
import static loadbalancer.policy.SlowStartScenario.Disturbance.SHARP_BURSTS;
import static loadbalancer.policy.SlowStartScenario.Disturbance.UNEVEN;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * What endpoints that warm up get from all sidecars together. Every sidecar decides for itself and knows no capacity,
 * but such an endpoint is overloaded by the sum: by over N + 2 x root of N + 2 requests in a window, N being the
 * settings' multiple of what it can serve then.
 *
 * <p>The system property {@code slowstartfleet.seeds} sets the seeds of each scenario.
 */
class SlowStartFleetTest {
    private static final int SEEDS = Integer.getInteger("slowstartfleet.seeds", 5);

    private static SlowStartScenario scenario(
            String name,
            int sidecars,
            int endpoints,
            double ratePerSecond,
            double load,
            int starting,
            SlowStartScenario.Disturbance... disturbances) {
        return SlowStartScenario.of(name, sidecars, endpoints, ratePerSecond, load, starting, disturbances);
    }

    static Stream<SlowStartScenario> fewSidecars() {
        return Stream.of(
                scenario("one sidecar", 1, 12, 20, 0.75, 2, BURSTS, CLIENT_RETRIES),
                scenario("one sidecar, light", 1, 12, 3, 0.5, 3, BURSTS, CLIENT_RETRIES),
                scenario("one sidecar, sharp bursts", 1, 6, 5, 0.75, 3, SHARP_BURSTS, JOINING, CLIENT_RETRIES),
                scenario("one sidecar, few endpoints", 1, 2, 20, 0.75, 1, BURSTS, CLIENT_RETRIES),
                scenario("two sidecars", 2, 12, 10, 0.75, 4, UNEVEN, BURSTS, CLIENT_RETRIES),
                scenario("two sidecars, resets", 2, 12, 10, 0.6, 4, RESETS, BURSTS, CLIENT_RETRIES),
                scenario("three sidecars, joining", 3, 12, 5, 0.75, 6, JOINING, SHARP_BURSTS, CLIENT_RETRIES),
                scenario("5 sidecars", 5, 12, 20, 0.75, 2, BURSTS, CLIENT_RETRIES),
                scenario("10 sidecars", 10, 12, 5, 0.75, 6, UNEVEN, BURSTS, CLIENT_RETRIES));
    }

    static Stream<SlowStartScenario> manySidecars() {
        return Stream.of(
                scenario("30 sidecars, one starting", 30, 20, 20, 0.6, 1),
                scenario("20 sidecars, a quarter starting", 20, 12, 20, 0.7, 3, BURSTS, CLIENT_RETRIES),
                scenario("100 sidecars", 100, 40, 10, 0.7, 6, BURSTS, CLIENT_RETRIES),
                scenario("100 sidecars, few endpoints", 100, 12, 20, 0.6, 2, BURSTS, CLIENT_RETRIES),
                scenario("30 sidecars, light", 30, 20, 3, 0.1, 3, BURSTS),
                scenario("100 sidecars, light", 100, 12, 3, 0.1, 3, UNEVEN, SHARP_BURSTS),
                scenario("small endpoints", 30, 12, 3, 0.5, 4, BURSTS, CLIENT_RETRIES),
                scenario("uneven", 30, 20, 20, 0.6, 4, UNEVEN),
                scenario("uneven, burst", 30, 20, 10, 0.75, 6, UNEVEN, BURSTS, CLIENT_RETRIES),
                scenario("six in ten starting", 30, 20, 20, 0.5, 12),
                scenario("six in ten starting, burst", 30, 20, 20, 0.75, 12, BURSTS, CLIENT_RETRIES),
                scenario("six in ten starting, uneven burst", 100, 40, 5, 0.75, 24, UNEVEN, BURSTS, CLIENT_RETRIES));
    }

    static Stream<SlowStartScenario> otherRulesAndDisturbances() {
        return Stream.of(
                scenario("joining", 30, 20, 20, 0.7, 6, JOINING, BURSTS),
                scenario("joining at a low fraction", 100, 20, 10, 0.7, 6, JOINING, BURSTS)
                        .under(4, 2000, 0.1, 9000),
                scenario("long idle", 30, 20, 10, 0.7, 6, IDLE),
                scenario("long idle, burst", 100, 20, 5, 0.7, 6, IDLE, UNEVEN, BURSTS, CLIENT_RETRIES),
                scenario("low multiple", 30, 20, 20, 0.75, 12, BURSTS, CLIENT_RETRIES)
                        .under(1.5, 2000, 0.2, 20_000),
                scenario("multiple of two", 20, 20, 20, 0.75, 12, BURSTS, CLIENT_RETRIES)
                        .under(2, 1000, 0.1, 20_000),
                scenario("one after another", 30, 40, 5, 0.75, 40, ROLLING, BURSTS, CLIENT_RETRIES),
                scenario("rolling, light", 100, 20, 3, 0.5, 19, ROLLING, BURSTS).under(4, 1000, 0.2, 60_000),
                scenario("resets", 100, 40, 3, 0.75, 24, RESETS, JOINING, BURSTS)
                        .under(4, 1000, 0.33, 60_000),
                scenario("resets, some starting", 100, 40, 3, 0.5, 12, RESETS, JOINING, BURSTS)
                        .under(3, 2000, 0.33, 60_000),
                scenario("resets, few sidecars", 30, 20, 5, 0.75, 12, RESETS, BURSTS, CLIENT_RETRIES)
                        .under(3, 1000, 0.2, 20_000));
    }

    @ParameterizedTest
    @MethodSource({"fewSidecars", "manySidecars", "otherRulesAndDisturbances"})
    void fleetDoesNotOverloadStartingEndpoint(SlowStartScenario scenario) {
        double worst = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            worst = Math.max(worst, new SlowStartFleet(scenario, seed).run().worstOverload());
        }
        assertTrue(worst <= 1, scenario + ": of what a starting endpoint bears it got " + worst);
    }

    @Test
    void startingEndpointGetsItsPartAfterSomeSeconds() {
        assertPart(scenario("5 sidecars", 5, 12, 20, 0.6, 2), 0.5);
        assertPart(scenario("30 sidecars", 30, 20, 20, 0.6, 4), 0.5);
        assertPart(scenario("100 sidecars", 100, 20, 10, 0.6, 4), 0.5);
        // A request in three seconds from each: a bucket takes as long to fill as an endpoint to warm up.
        assertPart(scenario("100 sidecars, light", 100, 20, 3, 0.5, 4), 0.4);
    }

    private static void assertPart(SlowStartScenario scenario, double minPart) {
        double part = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            part += new SlowStartFleet(scenario, seed).run().partOfWarmTraffic() / SEEDS;
        }
        assertTrue(part > minPart, scenario + ": of what it got when warm, for what it can serve: " + part);
    }
}
