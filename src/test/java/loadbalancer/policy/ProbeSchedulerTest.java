package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** How many probes requests pay for, and which endpoints get them. */
class ProbeSchedulerTest {
    private static final double MAX_REPORT_AGE_MILLIS = 500;

    private final RecordingActions actions = new RecordingActions();
    private final List<EndpointState> endpoints = PolicyStates.rankedEndpoints(3);
    private final EndpointState[] subset = endpoints.toArray(new EndpointState[0]);

    private ProbeScheduler scheduler(LoadReporting reporting, double probeCost) {
        PolicySettings settings = SettingsBuilder.forClasses(RequestClasses.HIGH_PRIORITY)
                .reporting(reporting)
                .probeCost(probeCost)
                .build();
        return new ProbeScheduler(settings, MAX_REPORT_AGE_MILLIS, actions);
    }

    private void endPeriods(ProbeScheduler scheduler, int count) {
        for (int i = 0; i < count; i++) {
            scheduler.endPeriod(1000, subset);
        }
    }

    private static LoadReport probeReport(double inFlight) {
        return new LoadReport(inFlight, 0, Double.NaN, Double.NaN, Double.NaN, Double.NaN);
    }

    @Test
    void spreadsProbesPaidByOneRequest() {
        // A probe costs a quarter of what a request may spend: four probes, over some hundred periods.
        ProbeScheduler scheduler = scheduler(LoadReporting.WITH_PROBES, 0.002);
        scheduler.earn();
        endPeriods(scheduler, 14);
        // 4 x (1 - 0.98 to the 14th) is 0.985, to the 15th 1.05.
        assertEquals(List.of(), actions.probes());
        endPeriods(scheduler, 1);
        assertEquals(List.of("s1"), actions.probes());
        endPeriods(scheduler, 1000);
        assertEquals(List.of("s1", "s2", "s0"), actions.probes());
    }

    @Test
    void sendsEightProbesForOneRequestAtMost() {
        ProbeScheduler scheduler = scheduler(LoadReporting.WITH_PROBES, 0);
        scheduler.earn();
        endPeriods(scheduler, 6);
        // 8 x (1 - 0.98 to the 6th) is 0.913, to the 7th 1.05.
        assertEquals(0, actions.probes().size());
        endPeriods(scheduler, 1);
        assertEquals(1, actions.probes().size());
    }

    @Test
    void sendsNoneWithoutProbeReports() {
        ProbeScheduler scheduler = scheduler(LoadReporting.WITH_RESPONSES, 0.002);
        for (int i = 0; i < 1000; i++) {
            scheduler.earn();
            endPeriods(scheduler, 1);
        }
        assertEquals(List.of(), actions.probes());
    }

    @Test
    void passesBusyEndpointThatWasProbedOfLate() {
        // 250 ms is half the age up to which a report is used.
        endpoints.get(1).reportedLoad().recordProbe(750, probeReport(3));
        endpoints.get(2).reportedLoad().recordProbe(750, probeReport(0));
        endpoints.get(0).reportedLoad().recordProbe(749, probeReport(3));
        ProbeScheduler scheduler = scheduler(LoadReporting.WITH_PROBES, 0.002);
        for (int i = 0; i < 100; i++) {
            scheduler.earn();
        }
        endPeriods(scheduler, 1);
        assertEquals(List.of("s2", "s0"), actions.probes().subList(0, 2));
    }
}
