package loadbalancer.discovery;

import java.util.ArrayList;
import java.util.List;
import loadbalancer.policy.DiscoveryCallSchedule;
import loadbalancer.policy.WatchEvidence;

/**
 * The calls to discovery that wait for their first list, and the open watch: decides which call is given up for another
 * one, and which is the watch. {@link DiscoveryCallSchedule} says when one begins. Does no I/O and reads no clock;
 * times are in milliseconds.
 *
 * <p>Discovery handles calls in turn, so that a call given up loses its place in the queue; but a call may also have
 * got lost. So a few calls wait side by side: the oldest is kept for as long as it may still get its turn, and when
 * there are too many the newest is replaced. An open watch that has been silent stays open beside them, since it may
 * still bring changes, but it ends none of them.
 */
final class WaitingCalls {
    private static final int MAX_WAITING_CALLS = 3;
    /** For how many of the longest intervals the oldest call may wait for its turn. */
    private static final int PATIENCE_INTERVALS = 3;
    /** A service that is slower than that is given more time, call by call. */
    private static final double PATIENCE_GROWTH = 2;

    private static final double MAX_PATIENCE_MILLIS = 20_000;

    private final DiscoveryCallSchedule schedule;

    /** The calls that wait for their first list, the oldest first. */
    private final List<CallState> waiting = new ArrayList<>();
    /** The open watch, or null. */
    private CallState watch;

    private double patienceMillis;

    /** No calls. */
    WaitingCalls(DiscoveryCallSchedule schedule) {
        this.schedule = schedule;
        resetPatience();
    }

    private void resetPatience() {
        patienceMillis = PATIENCE_INTERVALS * schedule.currency().callIntervalMillis();
    }

    /** Returns true if no call waits, and no watch is open that can be relied on. */
    boolean callNeeded(double nowMillis) {
        return waiting.isEmpty() && !watchReliable(nowMillis);
    }

    /** Returns true if a watch is open that can't be relied on. */
    boolean watchSilent(double nowMillis) {
        return watch != null && watch.silent(nowMillis);
    }

    /** Returns an open watch that has been silent and beside which no call waits, or null. */
    CallState unattendedSilentWatch(double nowMillis) {
        return watch != null && callNeeded(nowMillis) ? watch : null;
    }

    /** Returns true if another call has to begin since none of those that wait has been answered. */
    boolean callDue(double nowMillis) {
        WatchEvidence reliableWatch = watchReliable(nowMillis) ? watch.evidence() : null;
        return !waiting.isEmpty() && schedule.callBesideDue(nowMillis, reliableWatch);
    }

    /** Returns true if a watch is open that can be relied on. */
    boolean watchReliable(double nowMillis) {
        return watch != null && !watch.silent(nowMillis);
    }

    /**
     * Returns true if a call has to begin beside the open watch, whose lines may be late.
     *
     * @param random from 0 to 1
     */
    boolean confirmationDue(double nowMillis, double random) {
        return waiting.isEmpty()
                && watchReliable(nowMillis)
                && schedule.confirmationDue(nowMillis, watch.evidence(), random);
    }

    /**
     * A call has brought its first list; returns true if it has to be the watch from now on.
     *
     * @param newer true if its list is newer than that of the watch
     */
    boolean better(CallState call, boolean newer, double nowMillis) {
        if (!watchReliable(nowMillis)) {
            return true;
        }
        if (newer) {
            schedule.watchFoundLate(call.sentMillis());
            return true;
        }
        boolean prompter = nowMillis - call.sentMillis() < watch.evidence().delayBoundMillis();
        if (!prompter) {
            schedule.watchConfirmed(watch.evidence());
        }
        return prompter;
    }

    /** A call was answered, whether it is the watch or not; returns those beside it, which count no longer. */
    List<CallState> supersedeWaiting() {
        resetPatience();
        schedule.callAnswered();
        List<CallState> others = new ArrayList<>(waiting);
        waiting.clear();
        return others;
    }

    /** Returns the call to give up before another begins, or null if there is room. */
    CallState replaceable(double nowMillis) {
        if (waiting.size() < MAX_WAITING_CALLS) {
            return null;
        }
        for (CallState call : waiting) {
            if (call.stalled(nowMillis)) {
                return call;
            }
        }
        CallState oldest = waiting.get(0);
        return oldest.ageMillis(nowMillis) >= patienceMillis ? oldest : waiting.get(waiting.size() - 1);
    }

    /**
     * A call begins.
     *
     * @param random from 0 to 1
     */
    CallState begin(double nowMillis, double random) {
        CallState call = new CallState(nowMillis, random);
        waiting.add(call);
        schedule.callBegun(nowMillis, watchReliable(nowMillis));
        return call;
    }

    /** A call at an address that is wanted again waits here again. */
    void resume(CallState call, double nowMillis) {
        waiting.add(0, call);
        schedule.callWaits(nowMillis);
    }

    /** A call was given up without an answer: the service may need longer than that. */
    void givenUp(CallState call, double nowMillis) {
        if (call.ageMillis(nowMillis) >= patienceMillis) {
            patienceMillis = Math.min(MAX_PATIENCE_MILLIS, patienceMillis * PATIENCE_GROWTH);
        }
        ended(call);
    }

    /** A call has ended, or is no longer waited for. */
    void ended(CallState call) {
        if (waiting.remove(call) && waiting.isEmpty()) {
            schedule.noCallWaits();
        }
        if (call == watch) {
            watch = null;
        }
    }

    /** The service has rejected a call, whether it is waited for or not. */
    void rejected(CallState call, double nowMillis) {
        schedule.rejectedAfter(nowMillis - call.sentMillis());
    }

    /** A call brought its first list, and is the open watch now; returns the others, which count no longer. */
    List<CallState> answered(CallState call, double nowMillis) {
        waiting.remove(call);
        List<CallState> others = supersedeWaiting();
        if (watch != null) {
            others.add(watch);
        }
        watch = call;
        call.markWatching(nowMillis);
        return others;
    }
}
