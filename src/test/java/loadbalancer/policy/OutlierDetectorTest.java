package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** After how many consecutive failures an endpoint is ejected, and for how long. */
class OutlierDetectorTest {
    private final OutlierDetector detector = new OutlierDetector();

    @Test
    void ejectsAfterTwoFailuresWhenSubsetIsHealthy() {
        assertFalse(detector.recordFailure(0));
        assertFalse(detector.ejected());
        assertTrue(detector.recordFailure(0));
        assertTrue(detector.ejected());
    }

    @Test
    void ejectsBelowLikelihoodOfTwoPercent() {
        // A healthy subset counts as failing a tenth.
        detector.recordFailure(0);
        assertFalse(detector.recordFailure(0.21));
        detector.markResponsive();
        detector.recordFailure(0);
        assertTrue(detector.recordFailure(0.19));
    }

    @Test
    void needsMoreFailuresWhenSubsetFailsToo() {
        // Half of the subset's outcomes: 1/32 after five failures, 1/64 after six; 0.02 ejects.
        for (int i = 0; i < 5; i++) {
            assertFalse(detector.recordFailure(0.5));
        }
        assertTrue(detector.recordFailure(0.5));
    }

    @Test
    void neverEjectsWhenWholeSubsetFails() {
        for (int i = 0; i < 1000; i++) {
            assertFalse(detector.recordFailure(1));
        }
    }

    @Test
    void responseEndsTheRunOfFailures() {
        detector.recordFailure(0);
        detector.markResponsive();
        assertFalse(detector.recordFailure(0));
        detector.recordFailure(0);
        assertTrue(detector.ejected());
        detector.markResponsive();
        assertFalse(detector.ejected());
    }

    @Test
    void halvesRecoveryPaceOnce() {
        assertEquals(1, detector.recoverySlowdown());
        detector.recordFailure(0);
        assertEquals(1, detector.recoverySlowdown());
        detector.recordFailure(0);
        assertEquals(2, detector.recoverySlowdown());
        detector.recordFailure(0);
        assertEquals(2, detector.recoverySlowdown());
        detector.markResponsive();
        assertEquals(1, detector.recoverySlowdown());
    }
}
