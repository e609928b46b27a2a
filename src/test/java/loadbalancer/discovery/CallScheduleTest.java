package loadbalancer.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.policy.ListCurrency;
import loadbalancer.policy.OperatorRules;
import org.junit.jupiter.api.Test;

/** When another call begins beside one that is not answered, and which call makes room for it. */
class CallScheduleTest {
    private static final double TERM_MILLIS = 5850;
    private static final double INTERVAL_MILLIS = 0.375 * TERM_MILLIS;
    private static final double LONGEST_SILENCE_MILLIS = 2750;
    private static final double AGENT_INTERVAL_MILLIS = 100;
    /** The call after one that was not answered in three eighths of the term, by what is left of it. */
    private static final double SECOND_INTERVAL_MILLIS = 0.375 * (TERM_MILLIS - INTERVAL_MILLIS);

    private final ListCurrency currency = new ListCurrency(new OperatorRules(500, 4, 1500, 0.12, 24_000, 10_000));
    private final CallSchedule schedule = new CallSchedule(currency, false, 1);

    private CallState begin(double nowMillis) {
        return begin(schedule, nowMillis);
    }

    /** Gives up what has to make room, and begins a call. */
    private static CallState begin(CallSchedule schedule, double nowMillis) {
        CallState replaced = schedule.replaceable(nowMillis);
        if (replaced != null) {
            schedule.givenUp(replaced, nowMillis);
        }
        return schedule.begin(nowMillis, 1);
    }

    private CallState openWatch(double nowMillis) {
        CallState watch = begin(nowMillis);
        currency.answered(nowMillis);
        schedule.answered(watch, nowMillis);
        return watch;
    }

    @Test
    void nextCallIsDueOneIntervalAfterUnansweredOne() {
        assertFalse(schedule.callDue(1e9));
        begin(0);
        assertFalse(schedule.callDue(INTERVAL_MILLIS - 1));
        assertTrue(schedule.callDue(INTERVAL_MILLIS));
    }

    @Test
    void callsComeFasterAsTheTermRunsOutAndSlowerOnceItIsOver() {
        begin(0);
        begin(INTERVAL_MILLIS);
        double thirdMillis = INTERVAL_MILLIS + SECOND_INTERVAL_MILLIS;
        assertFalse(schedule.callDue(thirdMillis - 1));
        assertTrue(schedule.callDue(thirdMillis));
        begin(TERM_MILLIS + 1);
        assertFalse(schedule.callDue(TERM_MILLIS + INTERVAL_MILLIS));
        assertTrue(schedule.callDue(TERM_MILLIS + 1 + INTERVAL_MILLIS));
    }

    // Guards against an interval that grows while an agent is silent; three lost calls fit into the grace of 500 ms.
    @Test
    void callsToLocalAgentBeginAtEachInterval() {
        CallSchedule agent = new CallSchedule(currency, true, 1);
        double atMillis = 0;
        for (int call = 0; call < 600; call++) {
            begin(agent, atMillis);
            assertFalse(agent.callDue(atMillis + AGENT_INTERVAL_MILLIS - 1));
            assertEquals(atMillis + AGENT_INTERVAL_MILLIS, agent.nextAgentCallMillis(atMillis + 1));
            atMillis += AGENT_INTERVAL_MILLIS;
            assertTrue(agent.callDue(atMillis));
        }
    }

    @Test
    void noCallIsDueOnceOneIsAnswered() {
        CallState first = begin(0);
        CallState second = begin(INTERVAL_MILLIS);
        assertEquals(List.of(first), schedule.answered(second, INTERVAL_MILLIS));
        assertFalse(schedule.callDue(1e9));
    }

    @Test
    void keepsOldestForThreeIntervalsAndThenGivesItUp() {
        CallState first = begin(0);
        CallState second = begin(INTERVAL_MILLIS);
        assertNull(schedule.replaceable(2 * INTERVAL_MILLIS));
        CallState third = begin(2 * INTERVAL_MILLIS);
        assertSame(third, schedule.replaceable(3 * INTERVAL_MILLIS - 1));
        assertSame(first, schedule.replaceable(3 * INTERVAL_MILLIS));
        begin(3 * INTERVAL_MILLIS);
        // A service that did not answer in that time gets longer.
        assertNotSame(second, schedule.replaceable(5 * INTERVAL_MILLIS));
        assertSame(second, schedule.replaceable(7 * INTERVAL_MILLIS));
    }

    @Test
    void givesUpIncompleteListBeforeCallThatWaits() {
        begin(0);
        CallState second = begin(INTERVAL_MILLIS);
        CallState third = begin(2 * INTERVAL_MILLIS);
        second.markBytesReceived(2 * INTERVAL_MILLIS);
        assertSame(third, schedule.replaceable(2 * INTERVAL_MILLIS + 900));
        assertSame(second, schedule.replaceable(2 * INTERVAL_MILLIS + 1001));
    }

    @Test
    void silentWatchIsReportedUntilAnotherCallBegins() {
        CallState watch = openWatch(0);
        assertNull(schedule.unattendedSilentWatch(LONGEST_SILENCE_MILLIS));
        assertSame(watch, schedule.unattendedSilentWatch(LONGEST_SILENCE_MILLIS + 1));
        begin(LONGEST_SILENCE_MILLIS + 1);
        assertNull(schedule.unattendedSilentWatch(LONGEST_SILENCE_MILLIS + 1));
    }

    // Guards against a late line of a watch that ends the call for the current list.
    @Test
    void silentWatchStaysSilentAndEndsNoCall() {
        CallState watch = openWatch(0);
        CallState next = begin(LONGEST_SILENCE_MILLIS + 1);
        assertFalse(watch.evidence().lineReceived(LONGEST_SILENCE_MILLIS + 2, true));
        assertTrue(watch.silent(LONGEST_SILENCE_MILLIS + 2));
        assertTrue(schedule.callDue(LONGEST_SILENCE_MILLIS + 1 + INTERVAL_MILLIS));
        assertEquals(List.of(watch), schedule.answered(next, LONGEST_SILENCE_MILLIS + 1500));
    }

    // Guards against a wait of a whole interval after a call that failed at once beside a silent watch.
    @Test
    void callIsNeededAtOnceIfTheOneBesideSilentWatchFails() {
        openWatch(0);
        CallState next = begin(LONGEST_SILENCE_MILLIS + 1);
        assertFalse(schedule.callNeeded(LONGEST_SILENCE_MILLIS + 1));
        schedule.ended(next);
        assertTrue(schedule.callNeeded(LONGEST_SILENCE_MILLIS + 1));
        assertFalse(schedule.callDue(1e9));
    }

    @Test
    void callThatWasParkedKeepsItsPlace() {
        CallState first = begin(0);
        schedule.ended(first);
        CallState second = begin(100);
        schedule.resume(first, 900);
        assertFalse(schedule.callNeeded(900));
        assertTrue(schedule.callDue(900 + INTERVAL_MILLIS));
        begin(1000);
        assertSame(first, schedule.replaceable(3 * INTERVAL_MILLIS));
        assertEquals(2, schedule.answered(second, 3 * INTERVAL_MILLIS).size());
    }

    // Guards against an interval between calls to a local agent that has grown though each call was answered.
    @Test
    void answerThatIsNoBetterThanWatchEndsGrowthOfInterval() {
        CallSchedule agentCalls = new CallSchedule(currency, true, 1);
        CallState watch = begin(agentCalls, 0);
        agentCalls.answered(watch, 0);
        for (int call = 1; call <= 4; call++) {
            CallState confirming = begin(agentCalls, 2200 * call);
            agentCalls.ended(confirming);
            agentCalls.supersedeWaiting();
        }
        agentCalls.ended(watch);
        begin(agentCalls, 10_000);
        assertTrue(agentCalls.callDue(10_000 + currency.agentCallIntervalMillis()));
    }

    private CallState watchAnsweredAfter(double delayMillis) {
        CallState watch = begin(0);
        schedule.answered(watch, delayMillis);
        return watch;
    }

    // Guards against an old call that is answered late, and takes the watch over from a prompt one.
    @Test
    void lateAnswerIsNoBetterThanPromptWatch() {
        CallState late = begin(0);
        CallState prompt = begin(2200);
        schedule.answered(prompt, 2210);
        assertFalse(schedule.better(late, false, 4000));
        assertTrue(schedule.better(late, true, 4000));
    }

    @Test
    void promptAnswerIsBetterThanLateOrSilentWatch() {
        watchAnsweredAfter(900);
        CallState call = begin(1000);
        assertTrue(schedule.better(call, false, 1500));
        assertFalse(schedule.better(call, false, 2000));
        assertTrue(schedule.better(call, false, 9000));
    }
}
