package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** When a call beside an open watch confirms it. */
class WatchConfirmationTest {
    private static final double TERM_MILLIS = 6000 - 150;
    private static final int FEW_SIDECARS = 5;
    private static final int MANY_SIDECARS = 100;

    private final ListCurrency currency = new ListCurrency(new OperatorRules(500, 4, 1500, 0.12, 24_000, 10_000));

    private WatchConfirmation confirmation(boolean localAgent, int sidecars) {
        return new WatchConfirmation(currency, localAgent, sidecars);
    }

    /** Lets a list come each half second, and returns when a call is due that is spread by nothing. */
    private double dueBesideSteadyLists(WatchConfirmation confirmation, double fromMillis) {
        WatchEvidence watch = new WatchEvidence(fromMillis, fromMillis, 1);
        double millis = fromMillis;
        while (!confirmation.due(millis, watch, 0)) {
            millis += 500;
            watch.lineReceived(millis, false);
        }
        return millis - fromMillis;
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void watchWithPromptLinesIsNotConfirmed(boolean localAgent) {
        WatchConfirmation confirmation = confirmation(localAgent, FEW_SIDECARS);
        WatchEvidence watch = new WatchEvidence(100, 0, 1);
        for (int line = 1; line <= 100; line++) {
            double atMillis = 100 + 2000 * line;
            assertFalse(confirmation.due(atMillis, watch, 0));
            watch.lineReceived(atMillis, true);
        }
    }

    // Guards against calls for ever beside prompt watches where the time for asking is short.
    @ParameterizedTest
    @ValueSource(doubles = {500, 2000, 4000})
    void promptWatchIsNotConfirmedThoughTimeForAskingIsShort(double pollDeadlineMillis) {
        ListCurrency shortTerm = new ListCurrency(new OperatorRules(500, 4, 1500, 0.12, 24_000, pollDeadlineMillis));
        WatchConfirmation confirmation = new WatchConfirmation(shortTerm, false, FEW_SIDECARS);
        WatchEvidence watch = new WatchEvidence(0, 0, 1);
        for (int line = 1; line <= 100; line++) {
            assertFalse(confirmation.due(2000 * line, watch, 0));
            watch.lineReceived(2000 * line, true);
        }
    }

    // A single change is followed by an empty line, which shows that nothing waits on the path.
    @Test
    void singleChangesNeedNoConfirmation() {
        WatchConfirmation confirmation = confirmation(false, FEW_SIDECARS);
        WatchEvidence watch = new WatchEvidence(0, 0, 1);
        double millis = 0;
        for (int change = 0; change < 100; change++) {
            millis += 900;
            watch.lineReceived(millis, false);
            assertFalse(confirmation.due(millis + 1999, watch, 0));
            millis += 2000;
            watch.lineReceived(millis, true);
        }
    }

    // Guards against a delay that grows unseen while lists come steadily: one call may get lost within the term.
    @Test
    void watchWithSteadyListsIsConfirmedWithinHalfTheTerm() {
        WatchConfirmation confirmation = confirmation(false, FEW_SIDECARS);
        assertTrue(dueBesideSteadyLists(confirmation, 0) <= TERM_MILLIS / 2 + 500);
        confirmation.begun(3000);
        WatchEvidence watch = new WatchEvidence(3000, 3000, 1);
        watch.lineReceived(5000, true);
        watch.lineReceived(7000, true);
        assertFalse(confirmation.mayFollowUnanswered(2999 + TERM_MILLIS, watch));
        assertTrue(confirmation.mayFollowUnanswered(3000 + TERM_MILLIS, watch));
        assertTrue(3000 + dueBesideSteadyLists(confirmation, 3000) >= 3000 + TERM_MILLIS);
    }

    @Test
    void watchFoundLateIsConfirmedAgainAfterOneInterval() {
        WatchConfirmation confirmation = confirmation(false, FEW_SIDECARS);
        confirmation.begun(0);
        confirmation.watchFoundLate(0);
        assertTrue(dueBesideSteadyLists(confirmation, 0) <= TERM_MILLIS / 2 + 500);
    }

    // Guards against calls of a large fleet that crowd the service, since the same changes make all watches doubtful.
    @Test
    void largeFleetConfirmsAtRateThatServiceBears() {
        WatchConfirmation confirmation = confirmation(false, MANY_SIDECARS);
        confirmation.begun(0);
        confirmation.watchFoundLate(0);
        assertTrue(dueBesideSteadyLists(confirmation, 0) >= 2 * TERM_MILLIS);
        assertFalse(confirmation.mayFollowUnanswered(200 * MANY_SIDECARS - 1, new WatchEvidence(0, 0, 1)));
    }

    /** The evidence of a watch whose lines are late by this much. */
    private static WatchEvidence late(double millis) {
        return new WatchEvidence(millis, 0, 1);
    }

    // Guards against calls for ever beside the watch on a local agent whose paths are all late by the same time.
    @Test
    void steadyPathToLocalAgentIsConfirmedOnce() {
        WatchConfirmation confirmation = confirmation(true, 1);
        assertTrue(confirmation.due(200, late(200), 0));
        confirmation.watchConfirmed(late(200));
        assertFalse(confirmation.due(200, late(200), 0));
        assertFalse(confirmation.due(210, late(210), 0));
        // A delay that grows, or one that leaves little of the grace of 500 ms.
        assertTrue(confirmation.due(230, late(230), 0));
        confirmation.watchConfirmed(late(400));
        assertTrue(confirmation.due(400, late(400), 0));
    }

    @Test
    void steadyLatePathToSharedServiceIsConfirmedAgain() {
        WatchConfirmation confirmation = confirmation(false, FEW_SIDECARS);
        confirmation.watchConfirmed(late(800));
        assertTrue(confirmation.due(800, late(800), 0));
    }

    @Test
    void watchOnLatePathIsConfirmed() {
        WatchConfirmation confirmation = confirmation(false, FEW_SIDECARS);
        assertFalse(confirmation.due(700, new WatchEvidence(700, 0, 1), 0));
        assertTrue(confirmation.due(800, new WatchEvidence(800, 0, 1), 0));
        // The grace of these rules is 500 ms.
        assertFalse(confirmation(true, 1).due(150, new WatchEvidence(150, 0, 1), 0));
        assertTrue(confirmation(true, 1).due(160, new WatchEvidence(160, 0, 1), 0));
    }
}
