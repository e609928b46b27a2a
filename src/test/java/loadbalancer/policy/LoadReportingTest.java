package loadbalancer.policy;

import static loadbalancer.policy.RequestClasses.HIGH_PRIORITY;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** What load reports, probes and capacity weights change for a sidecar among many. */
class LoadReportingTest {
    private static final double PROBE_COST = 0.002;

    private static PolicyHarness harness(LoadReporting reporting, List<Endpoint> endpoints) {
        PolicySettings settings = SettingsBuilder.forClasses(HIGH_PRIORITY)
                .reporting(reporting)
                .probeCost(PROBE_COST)
                .sidecars(400)
                .endpointListPushed()
                .build();
        return PolicyHarness.started(settings, 5, endpoints);
    }

    private static LoadReport report(double utilization, double requestsPerSecond) {
        return new LoadReport(Double.NaN, Double.NaN, utilization, Double.NaN, requestsPerSecond, 0);
    }

    @Test
    void divertsTrafficFromOverloadedEndpoint() {
        PolicyHarness harness = harness(LoadReporting.WITH_RESPONSES, Endpoints.fleet(3));
        TrafficCounts counts = Traffic.every(50, harness)
                .reporting(endpoint -> endpoint.equals("s1") ? report(1, 200) : report(0.5, 100))
                .run(1, 30_000);
        assertTrue(
                counts.firstAttempts("s1", 0) < counts.firstAttempts("s2", 0) * 0.8,
                "the busy one gets less: " + counts);
        assertTrue(counts.notForwarded() < 10, "and nothing is rejected for it: " + counts);
    }

    @Test
    void prefersEndpointsOfHigherReportedCapacity() {
        PolicyHarness harness = harness(LoadReporting.WITH_RESPONSES, Endpoints.fleet(3));
        TrafficCounts counts = Traffic.every(50, harness)
                .reporting(endpoint -> report(0.5, endpoint.equals("s1") ? 20 : 100))
                .run(1, 30_000);
        assertTrue(
                counts.firstAttempts("s1", 0) < counts.firstAttempts("s2", 0) / 2,
                "a slow endpoint gets less by its capacity: " + counts);
        assertTrue(counts.firstAttempts("s1", 0) > 10, "and is not left out: " + counts);
    }

    @Test
    void capacityWeightOrdersEndpointsWithoutRejections() {
        PolicyHarness harness = harness(
                LoadReporting.NONE,
                List.of(
                        Endpoints.withCapacityWeight("s0", 1),
                        Endpoints.withCapacityWeight("s1", 4),
                        Endpoints.withCapacityWeight("s2", 4)));
        TrafficCounts counts = Traffic.every(50, harness).run(1, 30_000);
        assertTrue(
                counts.firstAttempts("s0", 0) < counts.firstAttempts("s1", 0) * 0.6,
                "the small one gets less: " + counts);
        assertEquals(0, counts.notForwarded());
    }

    @Test
    void ignoresInvalidReports() {
        double[] invalid = {Double.NaN, -1, 9, Double.POSITIVE_INFINITY};
        PolicyHarness withoutReports = harness(LoadReporting.WITH_RESPONSES, Endpoints.fleet(4));
        PolicyHarness withInvalidReports = harness(LoadReporting.WITH_RESPONSES, Endpoints.fleet(4));
        int[] reports = new int[1];
        Traffic.every(30, withoutReports).run(1, 9000);
        Traffic.every(30, withInvalidReports)
                .reporting(endpoint -> {
                    int number = reports[0]++;
                    return number % 5 == 4
                            ? report(1, number % 2 == 0 ? -3 : Double.POSITIVE_INFINITY)
                            : report(invalid[number % 4], 100);
                })
                .run(1, 9000);
        assertEquals(withoutReports.actions(), withInvalidReports.actions());
    }

    @Test
    void spreadsProbesBetweenRequests() {
        PolicyHarness harness = harness(LoadReporting.WITH_PROBES, Endpoints.fleet(3));
        int lateProbes = 0;
        int allProbes = 0;
        for (double requestAt = 1000; requestAt < 40_000; requestAt += 1000) {
            harness.runTo(requestAt);
            PolicyRequest request = harness.request(requestAt, 0);
            if (harness.forwarded(request)) {
                harness.endLastAttempt(requestAt, request, AttemptOutcome.SUCCESS, 50);
            }
            int before = harness.probes();
            harness.runTo(requestAt + 400);
            int early = harness.probes() - before;
            harness.runTo(requestAt + 999);
            allProbes += harness.probes() - before;
            lateProbes += harness.probes() - before - early;
        }
        assertTrue(allProbes > 50, "probes are sent: " + allProbes);
        assertTrue(lateProbes > allProbes / 3, "the next request finds fresh ones: " + lateProbes + " of " + allProbes);
    }
}
