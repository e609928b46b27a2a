package loadbalancer.policy;

/**
 * The one judge of how current the endpoint list is: as of which moment the list in force is known to be complete, and
 * how much is left of the time within which what has changed since must be in force. Whatever waits for a list asks
 * this class how long it may wait. Times are in milliseconds on the policy's clock.
 *
 * <p>An answer says how things were when its call began, or later. A line of an open watch says how things were when it
 * was written; {@link WatchEvidence} tells whether that is known. A watch that has been silent says nothing any more:
 * only a call that began later does.
 */
public final class ListCurrency {
    private final NotificationBudget budget;
    /** Negative infinity until the first answer since the start. */
    private double asOfMillis = Double.NEGATIVE_INFINITY;

    /** From when the term runs: the moment above, or the start. */
    private double termStartMillis;
    /** When the list of the service that discovery moved to is due; infinity if it has come. */
    private double moveDueMillis = Double.POSITIVE_INFINITY;

    private boolean watchSilent;
    /** When the silence of the watch was noticed; it began after the moment as of which the list is complete. */
    private double silenceNoticedMillis;
    /** When discovery moved; infinity once the list of the service that it moved to has come. */
    private double movedMillis = Double.POSITIVE_INFINITY;

    /** A judge that knows of no list. */
    public ListCurrency(OperatorRules rules) {
        this.budget = new NotificationBudget(rules);
    }

    /** The process has started; what has changed before counts as known one term later. */
    void started(double nowMillis) {
        termStartMillis = nowMillis;
    }

    /** A call that began at this time was answered. */
    public void answered(double callBegunMillis) {
        watchSilent = false;
        moveDueMillis = Double.POSITIVE_INFINITY;
        movedMillis = Double.POSITIVE_INFINITY;
        confirmed(callBegunMillis);
    }

    /** A watch that can be relied on has said that the list was complete at this time. */
    public void confirmed(double atMillis) {
        asOfMillis = Math.max(asOfMillis, atMillis);
        termStartMillis = Math.max(termStartMillis, asOfMillis);
    }

    /** The open watch has been silent: it confirms nothing any more. Counts from when this is noticed first. */
    void watchFellSilent(double nowMillis) {
        if (!watchSilent) {
            watchSilent = true;
            silenceNoticedMillis = nowMillis;
        }
    }

    /** Discovery has moved. In a series of moves the first one counts. */
    public void moved(double nowMillis) {
        moveDueMillis = Math.min(moveDueMillis, nowMillis + budget.usableAfterMoveMillis());
        movedMillis = Math.min(movedMillis, nowMillis);
    }

    /** Returns true unless an open watch that has been silent is all there is. */
    public boolean reliable() {
        return !watchSilent;
    }

    /** Returns true once a list is known to be complete as of some moment since the start. */
    public boolean known() {
        return asOfMillis > Double.NEGATIVE_INFINITY;
    }

    /** Returns how long ago the list in force was known to be complete; infinity if it never was. */
    public double ageMillis(double nowMillis) {
        return nowMillis - asOfMillis;
    }

    /**
     * Returns how much is left of the time within which a list has to be in force. Once that is over nothing can be
     * made up for, and haste would only add to the load of a service that is in trouble: then it is the whole time.
     */
    double remainingMillis(double nowMillis) {
        double dueMillis = Math.min(termStartMillis + budget.usableMillis(), moveDueMillis);
        return dueMillis > nowMillis ? dueMillis - nowMillis : budget.usableMillis();
    }

    /** Returns the longest time for which a call may be open without another one beside it. */
    public double callIntervalMillis() {
        return budget.callIntervalMillis();
    }

    /** Returns how long after the beginning of an unanswered call the next one begins. */
    public double callIntervalMillis(double nowMillis) {
        return budget.callIntervalMillis(remainingMillis(nowMillis));
    }

    /**
     * Returns how long after the beginning of an unanswered call the next one begins so that what a silent watch has
     * missed, or what a service has to which discovery moved, is in force once it is due; infinity if nothing is to
     * come due. It comes due at once, whenever discovery came back into reach: a call that begins just then has it, and
     * the next one is too late. For a silent watch the moment is known up to the time that it took to notice the
     * silence, over which calls follow each other more closely.
     */
    double dueCallIntervalMillis(double nowMillis) {
        double intervalMillis = Double.POSITIVE_INFINITY;
        if (watchSilent) {
            double termMillis = budget.silenceTermMillis();
            intervalMillis = untilDueCallMillis(nowMillis, asOfMillis + termMillis, silenceNoticedMillis + termMillis);
        }
        double moveTermEndMillis = movedMillis + budget.moveTermMillis();
        return Math.min(intervalMillis, untilDueCallMillis(nowMillis, moveTermEndMillis, moveTermEndMillis));
    }

    // How long to wait for the next call if changes come due at some moment of this period.
    private double untilDueCallMillis(double nowMillis, double firstMillis, double lastMillis) {
        return nowMillis < lastMillis
                ? Math.max(firstMillis - nowMillis, budget.dueIntervalMillis())
                : Double.POSITIVE_INFINITY;
    }

    /** Returns how long after the beginning of a call to a local agent the next one begins, without a watch. */
    public double agentCallIntervalMillis() {
        return budget.agentCallIntervalMillis();
    }

    /** Returns the time within which a list has to be in force. */
    public double termMillis() {
        return budget.usableMillis();
    }

    /** Returns how late a path may be without a call that confirms its watch. */
    double acceptedPathDelayMillis(boolean localAgent) {
        return localAgent ? budget.acceptedAgentPathDelayMillis() : budget.acceptedPathDelayMillis();
    }

    /** Returns how late a path to a local agent may be at the most once a call has found none that is better. */
    double confirmedAgentPathDelayMillis() {
        return budget.confirmedAgentPathDelayMillis();
    }

    /** Returns how long ago the list may have been complete for sure without a call that confirms its watch. */
    double acceptedAgeMillis() {
        return budget.acceptedAgeMillis();
    }

    /** Returns the longest time over which the first calls of a fleet are spread. */
    double maxSpreadMillis() {
        return budget.maxSpreadMillis();
    }

    /** Returns the longest pause after a call that failed. */
    double maxPauseAfterFailureMillis(double nowMillis) {
        return budget.maxPauseAfterFailureMillis(remainingMillis(nowMillis));
    }

    /** Returns the longest pause after a call that an overloaded service rejected. */
    double maxPauseAfterRejectionMillis(double nowMillis) {
        return budget.maxPauseAfterRejectionMillis(remainingMillis(nowMillis));
    }
}
