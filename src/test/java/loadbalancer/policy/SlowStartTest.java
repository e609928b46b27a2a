package loadbalancer.policy;

import static loadbalancer.policy.RequestClasses.HIGH_PRIORITY;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** What endpoints that warm up get from one sidecar. */
class SlowStartTest {
    private static PolicyHarness fourEndpoints(PolicySettings settings, long seed) {
        return PolicyHarness.started(settings, seed, Endpoints.fleet(4));
    }

    private static PolicySettings settings() {
        return SettingsBuilder.forClasses(HIGH_PRIORITY).build();
    }

    @Test
    void limitsStartingEndpointToItsFraction() {
        PolicyHarness harness = fourEndpoints(settings(), 7);
        int startingCount = 0;
        int forwarded = 0;
        for (int i = 0; i < 8000; i++) {
            double now = i + 1;
            harness.runTo(now);
            if (i == 4000) {
                harness.delta(now, Endpoints.startedAt("s1", now));
            }
            PolicyRequest request = harness.request(now, 0);
            if (!harness.forwarded(request)) {
                continue;
            }
            if (i >= 4000) {
                forwarded++;
                startingCount += harness.lastEndpoint(request).equals("s1") ? 1 : 0;
            }
            harness.endLastAttempt(now, request, AttemptOutcome.SUCCESS, 5);
        }
        assertTrue(startingCount > 100, "it warms up: " + startingCount);
        assertTrue(startingCount < 0.45 * forwarded / 4, "and is spared: " + startingCount + " of " + forwarded);
    }

    @Test
    void keepsSlowStartWhenOlderListFollows() {
        PolicySettings settings =
                SettingsBuilder.forClasses(HIGH_PRIORITY).endpointListPushed().build();
        PolicyHarness harness = fourEndpoints(settings, 5);
        Traffic.every(5, harness).run(1, 6000);
        harness.delta(6000, Endpoints.startedAt("s1", 6000));
        harness.delta(6010, Endpoints.startedAt("s1", 0));
        TrafficCounts counts = Traffic.every(5, harness).run(6010, 8000);
        assertTrue(
                counts.firstAttempts("s1", 0) < counts.firstAttempts("s2", 0) / 2,
                "an older list does not end the slow start: " + counts);
    }

    @Test
    void keepsBudgetsWhenWholeFleetRestarts() {
        PolicyHarness harness = fourEndpoints(settings(), 11);
        Traffic.every(5, harness).run(1, 6000);
        harness.delta(
                6000,
                IntStream.range(0, 4)
                        .mapToObj(i -> Endpoints.startedAt("s" + i, 6000))
                        .toArray(Endpoint[]::new));
        int early = Traffic.every(5, harness).run(6000, 9000).totalAttempts();
        int later = Traffic.every(5, harness).run(9000, 12_000).totalAttempts();
        assertTrue(early > 60, "a tenth of 600 at least, at a fifth of the capacity: " + early);
        assertTrue(early < 400, "and far from all: " + early);
        assertTrue(later > early, "more as they warm up: " + later);
    }

    @Test
    void usesFleetThatIsAllWarmingUpAtStart() {
        PolicyHarness harness = new PolicyHarness(settings(), 11);
        harness.start(2000);
        harness.snapshot(
                2000,
                IntStream.range(0, 6)
                        .mapToObj(i -> Endpoints.startedAt("s" + i, 1000 + i))
                        .toList());
        int early = Traffic.every(50, harness).run(2000, 6000).totalAttempts();
        assertTrue(early > 16, "of 80, a fifth of its capacity is there at least: " + early);
        int later = Traffic.every(50, harness).run(6000, 10_000).totalAttempts();
        assertTrue(later < 60, "and not all are forwarded: " + later);
    }
}
