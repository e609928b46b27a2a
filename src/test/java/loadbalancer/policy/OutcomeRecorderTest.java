package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** What each outcome counts for. */
class OutcomeRecorderTest {
    /** The usual latency is 150 ms at first, and a response is fully late from 750 ms on. */
    private final LatencyBaseline latencies = new LatencyBaseline(List.of(RequestClasses.HIGH_PRIORITY));

    private final OutcomeRecorder recorder = new OutcomeRecorder(latencies);
    private final EndpointState endpoint = PolicyStates.readyEndpoint("s0");

    private void record(AttemptOutcome outcome, double durationMillis, LoadReport report) {
        recorder.record(PolicyStates.startAttempt(endpoint, 0), outcome, durationMillis, report);
    }

    private static void assertEvidence(double rejected, double total, OutcomeEvidence evidence) {
        assertEquals(rejected, evidence.rejectedWeight(), 1e-9);
        assertEquals(total, evidence.totalWeight(), 1e-9);
    }

    @Test
    void lateSuccessCountsInPart() {
        record(AttemptOutcome.SUCCESS, 450, null);
        assertEvidence(0.5, 1, endpoint.drop().evidence());
        assertEvidence(0.5, 1, recorder.subsetEvidence());
        endpoint.traffic().endPeriod(30);
        // The usual 150 ms in a period of 30 ms, of which one period weighs a fifth.
        assertEquals(1, endpoint.traffic().healthyInFlight(), 1e-9);
    }

    @Test
    void reportOfOverloadCountsAsThreeOutcomesOfItsEndpoint() {
        record(AttemptOutcome.SUCCESS, 100, new LoadReport(0, 0, 0.95, 1, 1000, 0));
        assertEvidence(1.5, 4, endpoint.drop().evidence());
        assertEvidence(0, 1, recorder.subsetEvidence());
    }

    @ParameterizedTest
    @EnumSource(names = {"CONNECT_FAILED", "RESET", "TIMED_OUT"})
    void ejectsAndDropsAllAfterTwoFailuresInHealthySubset(AttemptOutcome outcome) {
        EndpointState healthy = PolicyStates.readyEndpoint("s1");
        for (int i = 0; i < 100; i++) {
            recorder.record(PolicyStates.startAttempt(healthy, 0), AttemptOutcome.SUCCESS, 100, null);
        }
        record(outcome, 10, null);
        assertFalse(endpoint.outlier().ejected());
        assertEquals(0, endpoint.drop().dropFraction());
        record(outcome, 10, null);
        assertTrue(endpoint.outlier().ejected());
        assertEquals(1, endpoint.drop().dropFraction());
        assertEvidence(2, 2, endpoint.drop().evidence());
    }

    @Test
    void subsetEvidenceDecaysByPeriod() {
        record(AttemptOutcome.REJECTED, 10, null);
        recorder.endPeriod();
        assertEvidence(0.95, 0.95, recorder.subsetEvidence());
        assertEvidence(1, 1, endpoint.drop().evidence());
    }

    @Test
    void rejectionEndsEjection() {
        PolicyStates.eject(endpoint);
        record(AttemptOutcome.REJECTED, 10, null);
        assertFalse(endpoint.outlier().ejected());
        assertEvidence(1, 1, endpoint.drop().evidence());
    }

    @Test
    void errorCountsForItsClassOnly() {
        record(AttemptOutcome.ERROR, 10, null);
        assertEvidence(0, 0, endpoint.drop().evidence());
        SplittableRandom random = new SplittableRandom(1);
        int drops = 0;
        for (int i = 0; i < 1000; i++) {
            drops += endpoint.errorRates().drops(0, random) ? 1 : 0;
        }
        assertEquals(500, drops, 60);
    }

    @ParameterizedTest
    @EnumSource(names = {"CANCELLED", "NOT_SENT"})
    void cancelledAndUnsentAttemptsCountForNothing(AttemptOutcome outcome) {
        record(outcome, 10, null);
        assertEvidence(0, 0, endpoint.drop().evidence());
        assertEvidence(0, 0, recorder.subsetEvidence());
        assertFalse(endpoint.outlier().ejected());
    }
}
