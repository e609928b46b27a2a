package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** As of when the list is known to be complete, and how much is left until the next one has to be in force. */
class ListCurrencyTest {
    private static final double TERM_MILLIS = 5850;
    private static final double MOVE_TERM_MILLIS = 3850;

    private final ListCurrency currency = new ListCurrency(new OperatorRules(500, 4, 1500, 0.12, 24_000, 10_000));

    @Test
    void nothingIsKnownBeforeTheFirstAnswer() {
        currency.started(1000);
        assertFalse(currency.known());
        assertEquals(TERM_MILLIS - 500, currency.remainingMillis(1500));
    }

    @Test
    void answerSaysHowThingsWereWhenItsCallBegan() {
        currency.answered(3000);
        assertTrue(currency.known());
        assertEquals(1500, currency.ageMillis(4500));
        assertEquals(TERM_MILLIS - 1500, currency.remainingMillis(4500));
        currency.confirmed(4400);
        assertEquals(100, currency.ageMillis(4500));
    }

    @Test
    void olderEvidenceChangesNothing() {
        currency.answered(3000);
        currency.confirmed(2000);
        assertEquals(1000, currency.ageMillis(4000));
    }

    @Test
    void silentWatchIsUnreliableUntilCallIsAnswered() {
        currency.answered(3000);
        currency.watchFellSilent(4000);
        assertFalse(currency.reliable());
        currency.answered(5000);
        assertTrue(currency.reliable());
    }

    @Test
    void firstOfSeriesOfMovesCounts() {
        currency.answered(10_000);
        currency.moved(10_000);
        currency.moved(11_000);
        assertEquals(MOVE_TERM_MILLIS - 1000, currency.remainingMillis(11_000));
        currency.answered(11_000);
        assertEquals(TERM_MILLIS, currency.remainingMillis(11_000));
    }

    @Test
    void thereIsNoHasteOnceTheTermIsOver() {
        currency.answered(0);
        assertEquals(1, currency.remainingMillis(TERM_MILLIS - 1));
        assertEquals(TERM_MILLIS, currency.remainingMillis(TERM_MILLIS));
    }
}
