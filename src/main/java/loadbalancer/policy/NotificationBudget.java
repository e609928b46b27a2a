package loadbalancer.policy;

/**
 * Divides the time within which a change of the endpoint list must be in force among the waits before a list comes.
 *
 * <p>By the operators' term a change counts as known 6 s after discovery had it and could be reached. Each wait is a
 * part of what is left of that time, so that the sum of all waits stays within it however many calls fail. The calls of
 * a whole fleet are spread over most of that time, and so are those that follow a rejection: a service that is
 * overloaded gets a list across only if the calls come slower.
 */
final class NotificationBudget {
    static final double TERM_MILLIS = 6000;
    /** By the operators' term, what is left after SIGHUP has moved discovery. */
    private static final double MOVE_TERM_MILLIS = 4000;
    /** A process may be paused for this long at any moment. */
    private static final double MAX_PAUSE_MILLIS = 150;
    /** A crowded service rejects calls after a wait; a further call before that would only double its load. */
    private static final double INTERVAL_FRACTION = 0.375;

    /** Calls of a fleet that come faster than the service handles them are rejected; most of the time goes to that. */
    private static final double SPREAD_FRACTION = 0.7;

    /** What is left after the longest pause between two calls suffices for a call that is nearly rejected. */
    private static final double PAUSE_FRACTION = 0.6;

    /** Shorter intervals would overload discovery. */
    static final double MIN_INTERVAL_MILLIS = 300;

    /** A crowded service that answers in time lets a call wait for about so long. */
    private static final double MIN_UNANSWERED_MILLIS = 1100;

    /** Of few sidecars, for the short time in which what a silent watch has missed comes due. */
    private static final double DUE_INTERVAL_GRACE_FRACTION = 0.75;

    private static final double MIN_DUE_INTERVAL_MILLIS = 150;

    /** A local agent serves this sidecar alone; three lost calls to it must not use up the grace period. */
    private static final double AGENT_INTERVAL_GRACE_FRACTION = 0.2;

    private static final double MIN_AGENT_INTERVAL_MILLIS = 50;
    private static final double MAX_AGENT_INTERVAL_MILLIS = 150;

    private static final double ACCEPTED_AGENT_DELAY_GRACE_FRACTION = 0.3;
    private static final double MIN_ACCEPTED_AGENT_DELAY_MILLIS = 50;
    private static final double CONFIRMED_AGENT_DELAY_GRACE_FRACTION = 0.7;

    /** A silent watch on a path that is late by so much is noticed early enough for two further calls. */
    private static final double ACCEPTED_PATH_DELAY_FRACTION = 0.125;

    /** What is left then suffices for one call that is nearly rejected. */
    private static final double ACCEPTED_AGE_FRACTION = 0.5;

    /** Between two lines of a prompt watch, which come each 2 s. */
    private static final double MIN_ACCEPTED_AGE_MILLIS = 2250;

    private final double usableMillis;
    private final double drainGraceMillis;

    /**
     * A budget by the operators' rules.
     *
     * @param rules whose poll deadline, if there is one, may be shorter than the term
     */
    NotificationBudget(OperatorRules rules) {
        double pollDeadlineMillis =
                rules.pollDeadlineMillis() > 0 ? rules.pollDeadlineMillis() : Double.POSITIVE_INFINITY;
        this.usableMillis = Math.min(TERM_MILLIS, pollDeadlineMillis) - MAX_PAUSE_MILLIS;
        this.drainGraceMillis = rules.drainGraceMillis();
    }

    /** Returns the time within which a list has to be in force, less the longest pause of a process. */
    double usableMillis() {
        return usableMillis;
    }

    /** Returns the same for the list of a service that discovery has moved to. */
    double usableAfterMoveMillis() {
        return Math.min(usableMillis, MOVE_TERM_MILLIS - MAX_PAUSE_MILLIS);
    }

    /** Returns the longest time from the beginning of an unanswered call to that of the next one. */
    double callIntervalMillis() {
        return Math.max(MIN_INTERVAL_MILLIS, usableMillis * INTERVAL_FRACTION);
    }

    /** Returns the time from the beginning of an unanswered call to that of the next one, by the time that is left. */
    double callIntervalMillis(double remainingMillis) {
        double longest = callIntervalMillis();
        return clamp(remainingMillis * INTERVAL_FRACTION, Math.min(MIN_UNANSWERED_MILLIS, longest), longest);
    }

    /** Returns how long after a watch fell silent what it misses counts as known; no setting makes it shorter. */
    double silenceTermMillis() {
        return TERM_MILLIS;
    }

    /** Returns the same for what a service has to which discovery has moved, counted from the move. */
    double moveTermMillis() {
        return MOVE_TERM_MILLIS;
    }

    /** Returns how long after a term is over a call may begin whose list is still in force within the grace period. */
    double dueMillis() {
        return Math.max(0, drainGraceMillis - MAX_PAUSE_MILLIS);
    }

    /** Returns the longest time from call to call by which one begins in each such period. */
    double dueIntervalMillis() {
        return Math.max(MIN_DUE_INTERVAL_MILLIS, dueMillis() * DUE_INTERVAL_GRACE_FRACTION);
    }

    /** Returns the longest pause after a call that failed, by the time that is left. */
    double maxPauseAfterFailureMillis(double remainingMillis) {
        return clamp(remainingMillis * INTERVAL_FRACTION, MIN_INTERVAL_MILLIS, callIntervalMillis());
    }

    /** Returns the time from the beginning of a call to a local agent to that of the next one, without a watch. */
    double agentCallIntervalMillis() {
        return clamp(
                drainGraceMillis * AGENT_INTERVAL_GRACE_FRACTION, MIN_AGENT_INTERVAL_MILLIS, MAX_AGENT_INTERVAL_MILLIS);
    }

    /** Returns how late a path may be without a call that confirms its watch. */
    double acceptedPathDelayMillis() {
        return usableMillis * ACCEPTED_PATH_DELAY_FRACTION;
    }

    /** Returns the same for a watch on a local agent, whose lists count as known at once. */
    double acceptedAgentPathDelayMillis() {
        return Math.max(MIN_ACCEPTED_AGENT_DELAY_MILLIS, drainGraceMillis * ACCEPTED_AGENT_DELAY_GRACE_FRACTION);
    }

    /** Returns how late a path to a local agent may be at the most once a call has found none that is better. */
    double confirmedAgentPathDelayMillis() {
        return drainGraceMillis * CONFIRMED_AGENT_DELAY_GRACE_FRACTION;
    }

    /** Returns how long ago the list may have been complete for sure without a call that confirms its watch. */
    double acceptedAgeMillis() {
        return Math.max(MIN_ACCEPTED_AGE_MILLIS, usableMillis * ACCEPTED_AGE_FRACTION);
    }

    /** Returns the longest time over which the first calls of a fleet are spread. */
    double maxSpreadMillis() {
        return Math.max(MIN_INTERVAL_MILLIS, usableMillis * SPREAD_FRACTION);
    }

    /** Returns the longest pause after a call that an overloaded service rejected, by the time that is left. */
    double maxPauseAfterRejectionMillis(double remainingMillis) {
        return Math.max(MIN_INTERVAL_MILLIS, remainingMillis * PAUSE_FRACTION);
    }

    private static double clamp(double value, double min, double max) {
        return Math.max(min, Math.min(max, value));
    }
}
