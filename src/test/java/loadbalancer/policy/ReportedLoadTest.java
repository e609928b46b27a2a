package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What load reports and probes say of an endpoint. */
class ReportedLoadTest {
    private final ReportedLoad load = new ReportedLoad();

    private static LoadReport report(double utilization, double requestsPerSecond) {
        return new LoadReport(Double.NaN, Double.NaN, utilization, Double.NaN, requestsPerSecond, Double.NaN);
    }

    private static LoadReport probe(double inFlight) {
        return new LoadReport(inFlight, Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN);
    }

    @Test
    void overloadBeginsAtNineTenths() {
        assertEquals(0, load.record(report(0.9, 100), 0));
        assertEquals(0.5, load.record(report(0.95, 100), 0), 1e-9);
        assertEquals(1, load.record(report(1.2, 100), 0));
    }

    @Test
    void overloadCountsLessTheMoreTrafficIsOwn() {
        // 10 of 100 requests a second are this sidecar's own; from a quarter on the report says nothing.
        assertEquals(0.6, load.record(report(1, 100), 0.010), 1e-9);
        assertEquals(0, load.record(report(1, 100), 0.025), 1e-9);
        assertEquals(0, load.record(report(1, 100), 0.100), 1e-9);
    }

    @Test
    void capacityIsMeanOfRateOverUtilization() {
        load.record(report(0.5, 100), 0);
        assertEquals(200, load.capacityPerSecond(), 1e-9);
        load.record(report(0.5, 50), 0);
        assertEquals(180, load.capacityPerSecond(), 1e-9);
        load.record(report(0.09, 50), 0);
        assertEquals(180, load.capacityPerSecond(), 1e-9);
        load.record(report(0.1, 10), 0);
        assertEquals(164, load.capacityPerSecond(), 1e-9);
        load.resetCapacity();
        assertEquals(0, load.capacityPerSecond());
    }

    @ParameterizedTest
    @CsvSource({"NaN, 100", "-0.1, 100", "1.6, 100", "Infinity, 100", "1, 0", "1, -3", "1, NaN", "1, Infinity"})
    void ignoresImplausibleReports(double utilization, double requestsPerSecond) {
        assertEquals(0, load.record(report(utilization, requestsPerSecond), 0));
        assertEquals(0, load.capacityPerSecond());
        assertEquals(1, load.spareFactor());
        assertEquals(0, load.record(null, 0));
    }

    @Test
    void spareFactorGrowsAsUtilizationFalls() {
        // A report counts by a fifth, and the utilization is taken to be 1 at first: 0.8, then 0.64.
        load.record(report(0, 100), 0);
        assertEquals(1, load.spareFactor());
        load.record(report(0, 100), 0);
        assertEquals(0.75 / 0.64, load.spareFactor(), 1e-9);
        for (int i = 0; i < 100; i++) {
            load.record(report(0, 100), 0);
        }
        assertEquals(2.5, load.spareFactor(), 1e-9);
    }

    @Test
    void probedInFlightFollowsOwnAttempts() {
        assertEquals(Double.POSITIVE_INFINITY, load.probeAgeMillis(1000));
        load.attemptStarted();
        load.recordProbe(1000, probe(4));
        assertEquals(4, load.inFlight());
        load.attemptStarted();
        load.attemptStarted();
        load.attemptEnded();
        assertEquals(5, load.inFlight());
        load.recordProbe(1100, null);
        load.recordProbe(1100, probe(-1));
        load.recordProbe(1100, probe(Double.POSITIVE_INFINITY));
        assertEquals(5, load.inFlight());
        assertEquals(200, load.probeAgeMillis(1200));
    }
}
