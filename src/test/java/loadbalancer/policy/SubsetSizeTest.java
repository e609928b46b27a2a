package loadbalancer.policy;

import static loadbalancer.policy.RequestClasses.HIGH_PRIORITY;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Queue;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** How many endpoints of a fleet a sidecar uses. */
class SubsetSizeTest {
    private record InFlight(PolicyRequest request, double endsAt) {}

    private static PolicyHarness twentyEndpointsAmong(int sidecars) {
        PolicySettings settings = SettingsBuilder.forClasses(HIGH_PRIORITY)
                .endpointListPushed()
                .sidecars(sidecars)
                .build();
        return PolicyHarness.started(settings, 11, Endpoints.fleet(20));
    }

    /** The endpoints used when each request stays in flight for so many arrivals. */
    private static Set<String> endpointsUsed(
            PolicyHarness harness, double from, double until, double gapMillis, int arrivalsInFlight) {
        Set<String> used = new HashSet<>();
        Queue<InFlight> inFlight = new ArrayDeque<>();
        double durationMillis = gapMillis * arrivalsInFlight;
        for (double now = from; now < until; now += gapMillis) {
            harness.runTo(now);
            while (!inFlight.isEmpty() && inFlight.peek().endsAt() <= now) {
                harness.endLastAttempt(now, inFlight.remove().request(), AttemptOutcome.SUCCESS, durationMillis);
            }
            PolicyRequest request = harness.request(now, 0);
            if (harness.forwarded(request)) {
                used.add(harness.lastEndpoint(request));
                inFlight.add(new InFlight(request, now + durationMillis));
            }
        }
        return used;
    }

    @Test
    void growsWithLoadAndShrinksWithSidecars() {
        int lightAmongMany =
                endpointsUsed(twentyEndpointsAmong(400), 1, 4000, 40, 2).size();
        assertTrue(lightAmongMany <= 3, "hundreds of others connect too: " + lightAmongMany);
        int heavyAmongMany =
                endpointsUsed(twentyEndpointsAmong(400), 1, 20_000, 4, 25).size();
        assertTrue(heavyAmongMany > 10, "a heavy load needs more: " + heavyAmongMany);
        int lightAmongFew =
                endpointsUsed(twentyEndpointsAmong(4), 1, 4000, 40, 2).size();
        assertTrue(lightAmongFew > 5 && lightAmongFew <= 8, "few sidecars leave room: " + lightAmongFew);
    }

    @Test
    void staysWhenEndpointsStall() {
        PolicyHarness harness = twentyEndpointsAmong(400);
        Set<String> usedWhenHealthy = endpointsUsed(harness, 1, 6000, 100, 1);
        Set<String> usedWhenStalled = new HashSet<>();
        for (double now = 6000; now < 16_000; now += 100) {
            harness.runTo(now);
            PolicyRequest request = harness.request(now, 0);
            if (harness.forwarded(request)) {
                usedWhenStalled.add(harness.lastEndpoint(request));
            }
        }
        assertTrue(
                usedWhenHealthy.containsAll(usedWhenStalled),
                "attempts in flight open no further connections: " + usedWhenStalled);
    }
}
