package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** As of when the lines of a watch say that the list is current, and when they say nothing any more. */
class WatchEvidenceTest {
    private static final double MAX_SILENCE_MILLIS = 2750;
    private static final int LINES = 1000;

    private final WatchEvidence evidence = new WatchEvidence(0, 0, 1);

    @Test
    void lineSaysHowThingsWereWhenItCame() {
        assertTrue(evidence.lineReceived(2000, true));
        assertEquals(2000, evidence.writtenAtMillis());
        assertFalse(evidence.silent(2000 + MAX_SILENCE_MILLIS));
        assertTrue(evidence.silent(2001 + MAX_SILENCE_MILLIS));
    }

    @Test
    void watchThatWasSilentProvesNothingAnyMore() {
        assertFalse(evidence.lineReceived(MAX_SILENCE_MILLIS + 1, true));
        assertFalse(evidence.lineReceived(MAX_SILENCE_MILLIS + 2, false));
        assertTrue(evidence.silent(MAX_SILENCE_MILLIS + 2));
        assertEquals(0, evidence.writtenAtMillis());
    }

    @ParameterizedTest
    @ValueSource(doubles = {30, 100, 200, 500})
    void delayThatGrowsWithEachLineIsNoticedBeforeItIsLong(double addedMillis) {
        double nowMillis = 0;
        int lines = 0;
        do {
            nowMillis += 2000 + addedMillis;
            lines++;
        } while (evidence.lineReceived(nowMillis, true));
        assertTrue(nowMillis - 2000 * lines <= 3 * MAX_SILENCE_MILLIS, "noticed after " + nowMillis);
        assertTrue(nowMillis - evidence.writtenAtMillis() <= 2 * MAX_SILENCE_MILLIS);
    }

    @Test
    void delayThatVariesIsNoSilence() {
        for (int line = 1; line <= LINES; line++) {
            assertTrue(evidence.lineReceived(2000 * line + (line % 2 == 0 ? 0 : 500), true));
        }
    }

    @Test
    void slightlySlowServiceIsNotSilent() {
        for (int line = 1; line <= LINES; line++) {
            assertTrue(evidence.lineReceived(2019.0 * line, true));
        }
    }

    // A change may come right behind another line; that it does so says nothing of the delay.
    @Test
    void changesDoNotHideDelay() {
        evidence.lineReceived(2520, true);
        assertEquals(2020, evidence.writtenAtMillis());
        evidence.lineReceived(2600, false);
        assertEquals(2100, evidence.writtenAtMillis());
    }

    @Test
    void delayIsBoundedByTimeFromCallToFirstLine() {
        WatchEvidence slow = new WatchEvidence(1500, 600, 1);
        assertEquals(900, slow.delayBoundMillis());
        slow.lineReceived(3500, true);
        assertEquals(900, slow.delayBoundMillis());
        assertEquals(2600, slow.earliestWrittenMillis());
    }

    // Guards against a delay that grows unseen while lists come steadily.
    @Test
    void nothingBoundsDelayOfListsWithoutEmptyLineBetweenThem() {
        evidence.lineReceived(1000, false);
        evidence.lineReceived(2000, false);
        assertEquals(2000, evidence.delayBoundMillis());
        evidence.lineReceived(3900, true);
        assertEquals(2000, evidence.delayBoundMillis());
    }

    @Test
    void emptyLineAfterWholeIntervalHasMetNoOtherBytes() {
        evidence.lineReceived(1000, false);
        evidence.lineReceived(2500, false);
        evidence.lineReceived(4500, true);
        assertEquals(0, evidence.delayBoundMillis());
    }

    // Guards against a delay that grows by less than the service's intervals may differ, and is never noticed.
    @Test
    void boundFollowsDelayThatGrowsSlowly() {
        for (int line = 1; line <= LINES; line++) {
            assertTrue(evidence.lineReceived(2010.0 * line, true));
        }
        assertEquals(10.0 * LINES, evidence.delayBoundMillis());
    }

    @Test
    void boundDoesNotGrowWithDelayThatVaries() {
        for (int line = 1; line <= LINES; line++) {
            double delayMillis = line % 2 == 0 ? 0 : 500;
            evidence.lineReceived(2000.0 * line + delayMillis, true);
            assertEquals(delayMillis, evidence.delayBoundMillis());
        }
    }
}
