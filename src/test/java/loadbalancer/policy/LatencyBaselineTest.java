package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** How the usual latency follows the responses, and what is late by it. */
class LatencyBaselineTest {
    /** With an objective of 500 ms the usual latency is taken to be 150 ms at first. */
    private final LatencyBaseline latencies = new LatencyBaseline(List.of(RequestClasses.HIGH_PRIORITY));

    private void assertUsualMillis(double expected) {
        assertEquals(expected, latencies.usualMillis(0), 1e-9);
    }

    @Test
    void latenessGrowsFromUsualLatencyToFiveTimesIt() {
        assertUsualMillis(150);
        assertEquals(0, latencies.lateness(20, 0));
        assertEquals(0, latencies.lateness(150, 0));
        assertEquals(0.5, latencies.lateness(450, 0), 1e-9);
        assertEquals(1, latencies.lateness(750, 0), 1e-9);
        assertEquals(1, latencies.lateness(5000, 0));
    }

    @Test
    void usualLatencyFallsToRecentMeanAtOnce() {
        latencies.recordResponse(50, 0);
        assertUsualMillis(150);
        latencies.endPeriod();
        assertUsualMillis(150 - 100 * 0.05);
    }

    @Test
    void usualLatencyDriftsUpwardsSlowly() {
        latencies.recordResponse(1150, 0);
        latencies.endPeriod();
        assertUsualMillis(150 + 50 * 0.0003);
    }

    @Test
    void recoveryPaceIsUsualOverActualLatency() {
        assertEquals(1, latencies.recoveryPace());
        latencies.recordResponse(749, 0);
        latencies.endPeriod();
        // Both sums start at 1 ms, and 0.95 of the rest is kept.
        assertEquals(151.0 / 750, latencies.recoveryPace(), 1e-9);
        latencies.endPeriod();
        assertEquals((1 + 150 * 0.95) / (1 + 749 * 0.95), latencies.recoveryPace(), 1e-9);
    }

    @Test
    void fastResponsesDoNotRaiseRecoveryPace() {
        latencies.recordResponse(20, 0);
        latencies.endPeriod();
        assertEquals(1, latencies.recoveryPace(), 1e-9);
    }
}
