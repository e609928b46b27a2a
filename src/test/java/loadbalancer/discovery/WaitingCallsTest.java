package loadbalancer.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.policy.DiscoveryCallSchedule;
import loadbalancer.policy.ListCurrency;
import org.junit.jupiter.api.Test;

/** When another call begins beside one that is not answered, and which call makes room for it. */
class WaitingCallsTest {
    private static final double TERM_MILLIS = 5850;
    private static final double INTERVAL_MILLIS = 0.375 * TERM_MILLIS;
    private static final double LONGEST_SILENCE_MILLIS = 2750;
    /** Its calls are as far apart as the term allows. */
    private static final int LARGE_FLEET = 110;

    private static final double SHORTEST_INTERVAL_MILLIS = 300;
    /** The call after one that was not answered in three eighths of the term, by what is left of it. */
    private static final double SECOND_INTERVAL_MILLIS = 0.375 * (TERM_MILLIS - INTERVAL_MILLIS);

    private final DiscoveryCallSchedule schedule = CallSchedules.of("ask", 1);
    private final ListCurrency currency = schedule.currency();
    private final WaitingCalls calls = new WaitingCalls(schedule);

    WaitingCallsTest() throws Exception {}

    private CallState begin(double nowMillis) {
        return begin(calls, nowMillis);
    }

    /** Gives up what has to make room, and begins a call. */
    private static CallState begin(WaitingCalls calls, double nowMillis) {
        CallState replaced = calls.replaceable(nowMillis);
        if (replaced != null) {
            calls.givenUp(replaced, nowMillis);
        }
        return calls.begin(nowMillis, 1);
    }

    private CallState openWatch(double nowMillis) {
        CallState watch = begin(nowMillis);
        currency.answered(nowMillis);
        calls.answered(watch, nowMillis);
        return watch;
    }

    private static WaitingCalls callsOfLargeFleet() throws Exception {
        return new WaitingCalls(CallSchedules.of("ask", LARGE_FLEET));
    }

    private static void assertNextCallDue(WaitingCalls calls, double dueMillis) {
        assertFalse(calls.callDue(dueMillis - 1));
        assertTrue(calls.callDue(dueMillis));
    }

    @Test
    void nextCallIsDueOneIntervalAfterUnansweredOne() throws Exception {
        WaitingCalls ofLargeFleet = callsOfLargeFleet();
        for (WaitingCalls each : List.of(calls, ofLargeFleet)) {
            assertFalse(each.callDue(1e9));
            begin(each, 0);
        }
        assertNextCallDue(calls, SHORTEST_INTERVAL_MILLIS);
        assertNextCallDue(ofLargeFleet, INTERVAL_MILLIS);
    }

    @Test
    void callsOfLargeFleetComeFasterAsTheTermRunsOutAndSlowerOnceItIsOver() throws Exception {
        WaitingCalls ofLargeFleet = callsOfLargeFleet();
        begin(ofLargeFleet, 0);
        begin(ofLargeFleet, INTERVAL_MILLIS);
        assertNextCallDue(ofLargeFleet, INTERVAL_MILLIS + SECOND_INTERVAL_MILLIS);
        begin(ofLargeFleet, TERM_MILLIS + 1);
        assertNextCallDue(ofLargeFleet, TERM_MILLIS + 1 + INTERVAL_MILLIS);
    }

    // Guards against calls that follow a lost one as far apart as the term allows, and miss a short time of reach.
    @Test
    void callsFollowLostOneCloselyInTermAndOnceItIsOver() {
        for (double at = 0; at < 3 * TERM_MILLIS; at += SHORTEST_INTERVAL_MILLIS) {
            begin(at);
            assertNextCallDue(calls, at + SHORTEST_INTERVAL_MILLIS);
        }
    }

    // Guards against a call that is taken for lost since one was that ended long before.
    @Test
    void firstCallBesideWaitsForItsTurnAgainOnceNoneWaited() throws Exception {
        WaitingCalls ofFleet = new WaitingCalls(CallSchedules.of("ask", 14));
        CallState first = begin(ofFleet, 0);
        assertNextCallDue(ofFleet, 1400);
        CallState second = begin(ofFleet, 1400);
        assertNextCallDue(ofFleet, 1700);
        ofFleet.ended(first);
        ofFleet.ended(second);
        begin(ofFleet, 1600);
        assertNextCallDue(ofFleet, 3000);
    }

    // Guards against calls that follow each other closely at a service which rejects those that waited too long.
    @Test
    void callsComeByTheTermOnceServiceRejectedOneAfterWait() throws Exception {
        WaitingCalls ofFleet = new WaitingCalls(CallSchedules.of("ask", 14));
        begin(ofFleet, 0);
        CallState rejected = begin(ofFleet, 1400);
        ofFleet.rejected(rejected, 1500);
        begin(ofFleet, 1500);
        assertNextCallDue(ofFleet, 1800);
        ofFleet.rejected(rejected, 1400 + 2000);
        begin(ofFleet, 3400);
        assertNextCallDue(ofFleet, 3400 + 1100);
    }

    @Test
    void noCallIsDueOnceOneIsAnswered() {
        CallState first = begin(0);
        CallState second = begin(INTERVAL_MILLIS);
        assertEquals(List.of(first), calls.answered(second, INTERVAL_MILLIS));
        assertFalse(calls.callDue(1e9));
    }

    @Test
    void keepsOldestForThreeIntervalsAndThenGivesItUp() {
        CallState first = begin(0);
        CallState second = begin(INTERVAL_MILLIS);
        assertNull(calls.replaceable(2 * INTERVAL_MILLIS));
        CallState third = begin(2 * INTERVAL_MILLIS);
        assertSame(third, calls.replaceable(3 * INTERVAL_MILLIS - 1));
        assertSame(first, calls.replaceable(3 * INTERVAL_MILLIS));
        begin(3 * INTERVAL_MILLIS);
        // A service that did not answer in that time gets longer.
        assertNotSame(second, calls.replaceable(5 * INTERVAL_MILLIS));
        assertSame(second, calls.replaceable(7 * INTERVAL_MILLIS));
    }

    @Test
    void givesUpIncompleteListBeforeCallThatWaits() {
        begin(0);
        CallState second = begin(INTERVAL_MILLIS);
        CallState third = begin(2 * INTERVAL_MILLIS);
        second.markBytesReceived(2 * INTERVAL_MILLIS);
        assertSame(third, calls.replaceable(2 * INTERVAL_MILLIS + 900));
        assertSame(second, calls.replaceable(2 * INTERVAL_MILLIS + 1001));
    }

    @Test
    void silentWatchIsReportedUntilAnotherCallBegins() {
        CallState watch = openWatch(0);
        assertNull(calls.unattendedSilentWatch(LONGEST_SILENCE_MILLIS));
        assertSame(watch, calls.unattendedSilentWatch(LONGEST_SILENCE_MILLIS + 1));
        begin(LONGEST_SILENCE_MILLIS + 1);
        assertNull(calls.unattendedSilentWatch(LONGEST_SILENCE_MILLIS + 1));
    }

    // Guards against a late line of a watch that ends the call for the current list.
    @Test
    void silentWatchStaysSilentAndEndsNoCall() {
        CallState watch = openWatch(0);
        CallState next = begin(LONGEST_SILENCE_MILLIS + 1);
        assertFalse(watch.evidence().lineReceived(LONGEST_SILENCE_MILLIS + 2, true));
        assertTrue(watch.silent(LONGEST_SILENCE_MILLIS + 2));
        assertTrue(calls.callDue(LONGEST_SILENCE_MILLIS + 1 + INTERVAL_MILLIS));
        assertEquals(List.of(watch), calls.answered(next, LONGEST_SILENCE_MILLIS + 1500));
    }

    // Guards against a wait of a whole interval after a call that failed at once beside a silent watch.
    @Test
    void callIsNeededAtOnceIfTheOneBesideSilentWatchFails() {
        openWatch(0);
        CallState next = begin(LONGEST_SILENCE_MILLIS + 1);
        assertFalse(calls.callNeeded(LONGEST_SILENCE_MILLIS + 1));
        calls.ended(next);
        assertTrue(calls.callNeeded(LONGEST_SILENCE_MILLIS + 1));
        assertFalse(calls.callDue(1e9));
    }

    @Test
    void callThatWasParkedKeepsItsPlace() {
        CallState first = begin(0);
        calls.ended(first);
        CallState second = begin(100);
        calls.resume(first, 900);
        assertFalse(calls.callNeeded(900));
        assertTrue(calls.callDue(900 + INTERVAL_MILLIS));
        begin(1000);
        assertSame(first, calls.replaceable(3 * INTERVAL_MILLIS));
        assertEquals(2, calls.answered(second, 3 * INTERVAL_MILLIS).size());
    }

    // Guards against what is counted of unanswered calls that only the answer of a new watch would set back.
    @Test
    void answerThatIsNoBetterThanWatchEndsGrowthOfPatience() {
        begin(0);
        begin(INTERVAL_MILLIS);
        begin(2 * INTERVAL_MILLIS);
        double atMillis = 3 * INTERVAL_MILLIS;
        begin(atMillis);
        calls.supersedeWaiting();
        CallState oldest = begin(atMillis);
        begin(atMillis + INTERVAL_MILLIS);
        begin(atMillis + 2 * INTERVAL_MILLIS);
        assertSame(oldest, calls.replaceable(atMillis + 3 * INTERVAL_MILLIS));
    }

    private CallState watchAnsweredAfter(double delayMillis) {
        CallState watch = begin(0);
        calls.answered(watch, delayMillis);
        return watch;
    }

    // Guards against an old call that is answered late, and takes the watch over from a prompt one.
    @Test
    void lateAnswerIsNoBetterThanPromptWatch() {
        CallState late = begin(0);
        CallState prompt = begin(2200);
        calls.answered(prompt, 2210);
        assertFalse(calls.better(late, false, 4000));
        assertTrue(calls.better(late, true, 4000));
    }

    @Test
    void promptAnswerIsBetterThanLateOrSilentWatch() {
        watchAnsweredAfter(900);
        CallState call = begin(1000);
        assertTrue(calls.better(call, false, 1500));
        assertFalse(calls.better(call, false, 2000));
        assertTrue(calls.better(call, false, 9000));
    }
}
