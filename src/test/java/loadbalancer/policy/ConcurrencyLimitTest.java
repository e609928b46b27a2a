package loadbalancer.policy;

import static loadbalancer.policy.RequestClasses.HIGH_PRIORITY;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/** Bounds on the attempts in flight, which act before the first outcome shows a stall. */
class ConcurrencyLimitTest {
    private static PolicyHarness harness() {
        return PolicyHarness.started(SettingsBuilder.forClasses(HIGH_PRIORITY).build(), 11, Endpoints.fleet(4));
    }

    private static PolicyHarness largeFleet() {
        PolicySettings settings = SettingsBuilder.forClasses(HIGH_PRIORITY)
                .sidecars(14)
                .endpointListPushed()
                .build();
        return PolicyHarness.started(settings, 5, Endpoints.fleet(60));
    }

    @Test
    void avoidsUnresponsiveEndpointBeforeFirstTimeout() {
        PolicyHarness harness = harness();
        Traffic.every(5, harness).run(1, 3000);
        Map<String, Integer> attempts = new HashMap<>();
        for (double now = 3000; now < 3200; now += 5) {
            PolicyRequest request = harness.request(now, 0);
            String endpoint = harness.lastEndpoint(request);
            attempts.merge(endpoint, 1, Integer::sum);
            if (!endpoint.equals("s3")) {
                harness.endLastAttempt(now, request, AttemptOutcome.SUCCESS, 5);
            }
        }
        assertTrue(attempts.getOrDefault("s3", 0) <= 3, "attempts in flight divert traffic at once: " + attempts);
    }

    @Test
    void boundsInFlightWhenAllEndpointsAreUnresponsive() {
        PolicyHarness harness = harness();
        Traffic.every(5, harness).run(1, 3000);
        int forwarded = 0;
        for (double now = 3000; now < 5000; now += 5) {
            harness.runTo(now);
            forwarded += harness.forwarded(harness.request(now, 0)) ? 1 : 0;
        }
        assertTrue(forwarded < 60, "400 requests while nothing answers, forwarded " + forwarded);
    }

    @Test
    void boundsInFlightWhenLargeFleetStalls() {
        PolicyHarness harness = largeFleet();
        List<PolicyRequest> inFlight = new ArrayList<>();
        int healthyInFlight = 0;
        for (double now = 1; now < 5000; now += 2.5) {
            harness.runTo(now);
            healthyInFlight = Math.max(healthyInFlight, inFlight.size());
            while (inFlight.size() >= 40) {
                harness.endLastAttempt(now, inFlight.remove(0), AttemptOutcome.SUCCESS, 100);
            }
            PolicyRequest request = harness.request(now, 0);
            if (harness.forwarded(request)) {
                inFlight.add(request);
            }
        }
        int rejected = 0;
        for (double now = 5000; now < 5150; now += 2.5) {
            harness.runTo(now);
            PolicyRequest request = harness.request(now, 0);
            if (harness.forwarded(request)) {
                inFlight.add(request);
            } else {
                assertEquals(FinalAnswer.REJECTED, harness.answer(request), "rejected at once");
                rejected++;
            }
        }
        assertEquals(40, healthyInFlight, "in flight while healthy");
        assertTrue(inFlight.size() < 76, "of 60 more while nothing is answered, in flight: " + inFlight.size());
        assertTrue(rejected > 25, "and rejected: " + rejected);
    }

    @Test
    void rarelyRejectsRandomArrivalsAtLightLoad() {
        PolicyHarness harness = largeFleet();
        Random random = new Random(3);
        TreeMap<Double, PolicyRequest> endings = new TreeMap<>();
        int requests = 0;
        for (double now = 1; now < 60_000; now -= 12 * Math.log(1 - random.nextDouble()), requests++) {
            while (!endings.isEmpty() && endings.firstKey() <= now) {
                double at = endings.firstKey();
                harness.runTo(at);
                harness.endLastAttempt(at, endings.remove(at), AttemptOutcome.SUCCESS, 200);
            }
            harness.runTo(now);
            PolicyRequest request = harness.request(now, 0);
            if (harness.forwarded(request)) {
                endings.put(now + 200, request);
            }
        }
        int rejected = harness.countAnswers(FinalAnswer.REJECTED);
        assertTrue(rejected < 200, "of " + requests + " requests, rejected by chance: " + rejected);
    }
}
