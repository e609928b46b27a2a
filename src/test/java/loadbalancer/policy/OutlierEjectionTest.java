package loadbalancer.policy;

import static loadbalancer.policy.RequestClasses.HIGH_PRIORITY;
import static loadbalancer.policy.RequestClasses.LOW_PRIORITY;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** Endpoints that fail again and again get no traffic until they serve again. */
class OutlierEjectionTest {
    private static PolicyHarness harness(int sidecars, int endpoints, RequestClass... classes) {
        PolicySettings settings = SettingsBuilder.forClasses(classes)
                .sidecars(sidecars)
                .endpointListPushed()
                .build();
        return PolicyHarness.started(settings, 5, Endpoints.fleet(endpoints));
    }

    private static Traffic failing(Traffic traffic, AttemptOutcome outcome, Set<String> endpoints) {
        return traffic.endingAs(
                (endpoint, classIndex) -> endpoints.contains(endpoint) ? outcome : AttemptOutcome.SUCCESS);
    }

    private static int firstAttempts(TrafficCounts counts, Set<String> endpoints) {
        return endpoints.stream()
                .mapToInt(endpoint -> counts.firstAttempts(endpoint, 0))
                .sum();
    }

    @Test
    void ejectsAtLowRateAfterConsecutiveTimeouts() {
        Set<String> silent = Set.of("s3", "s4", "s5");
        PolicyHarness harness = harness(14, 20, HIGH_PRIORITY);
        Traffic.every(50, harness).run(1, 5000);
        TrafficCounts counts = failing(Traffic.every(50, harness), AttemptOutcome.TIMED_OUT, silent)
                .run(5000, 65_000);
        int ejected = firstAttempts(counts, silent);
        assertTrue(ejected > 0 && ejected < 50, "first attempts to the three silent ones in a minute: " + ejected);
        int recovered = firstAttempts(Traffic.every(50, harness).run(65_000, 85_000), silent);
        assertTrue(recovered > 20, "and once they serve they get their part again: " + recovered);
    }

    @Test
    void triesEjectedEndpointWithOneRequestAtATime() {
        PolicyHarness harness = harness(4, 8, HIGH_PRIORITY);
        Traffic.every(50, harness).run(1, 5000);
        Traffic.every(50, harness).endingAs(AttemptOutcome.RESET, "s3").run(5000, 7000);
        int tried = 0;
        for (double now = 7000; now < 67_000; now += 50) {
            harness.runTo(now);
            PolicyRequest request = harness.request(now, 0);
            if ("s3".equals(harness.lastEndpoint(request))) {
                tried++;
            } else if (harness.forwarded(request)) {
                harness.endLastAttempt(now, request, AttemptOutcome.SUCCESS, 50);
            }
        }
        assertEquals(1, tried, "while the first hangs no other follows");
    }

    @Test
    void ejectsFailingEndpointsWhileListIsUnavailable() {
        PolicyHarness harness = harness(4, 8, HIGH_PRIORITY);
        Traffic.every(10, harness).run(1, 5000);
        harness.watchEvent(5000, WatchEvent.FAILED);
        Set<String> dead = Set.of("s0", "s1", "s2");
        TrafficCounts counts = failing(Traffic.every(10, harness), AttemptOutcome.CONNECT_FAILED, dead)
                .run(5000, 25_000);
        int deadCount = firstAttempts(counts, dead);
        assertTrue(deadCount < 300, "of 2000 first attempts to the dead three: " + deadCount);
        assertTrue(counts.notForwarded() < 60, "the rest carries it: " + counts);
        assertTrue(harness.actions().contains("log endpoint list unavailable, using the last known list"));
    }

    @Test
    void ejectsSilentEndpointDuringRollingDeploy() {
        PolicyHarness harness = harness(4, 6, HIGH_PRIORITY, LOW_PRIORITY);
        Traffic.every(10, harness).run(1, 5000);
        TrafficCounts counts = new TrafficCounts();
        for (int i = 0; i < 5; i++) {
            double now = 5000 + i * 2000;
            harness.delta(now, Endpoints.removed("s" + i), Endpoints.startedAt("n" + i, now));
            counts.add(Traffic.every(10, harness)
                    .endingAs(AttemptOutcome.TIMED_OUT, "s5")
                    .run(now, now + 2000));
        }
        assertTrue(counts.firstAttemptsByPrefix("n") > 100, "the new ones take part: " + counts);
        assertTrue(counts.firstAttemptsByPrefix("s5/") < 150, "the silent one is ejected: " + counts);
        for (PolicyRequest request : harness.requests()) {
            assertTrue(harness.forwarded(request) || harness.answered(request), "lost: " + request.id());
        }
    }
}
