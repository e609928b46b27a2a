package loadbalancer.downstream;

import loadbalancer.policy.PolicySettings;
import loadbalancer.policy.RequestClass;

/**
 * The times of a graceful shutdown's steps, in milliseconds after SIGTERM.
 *
 * <p>PROTOCOL, "Figures": new connections keep coming for 0.2 to 0.4 s after SIGTERM, and SIGKILL comes no sooner than
 * the longest deadline, counted as 3 s where it is longer, and 0.7 s more.
 *
 * @param closeIdleAtMillis idle connections are closed, and from then on every response closes its own
 * @param stopAcceptingAtMillis the listener closes
 * @param failPendingAtMillis pending requests are failed, and later ones are rejected at once
 */
record ShutdownSchedule(double closeIdleAtMillis, double stopAcceptingAtMillis, double failPendingAtMillis) {
    /** PROTOCOL, "Figures": a longer deadline counts as this one. */
    private static final double MAX_DEADLINE_MILLIS = 3000;
    /** PROTOCOL, "Figures": from the longest deadline to SIGKILL. */
    private static final double KILL_AFTER_DEADLINE_MILLIS = 700;
    /** Left before SIGKILL, for a late loop and for writing the last responses. */
    private static final double RESERVE_MILLIS = 600;
    /** New connections keep coming for up to 400 ms; the rest is for a late loop. */
    private static final double MIN_OPEN_MILLIS = 500;
    /** Time for the requests that were accepted last before they are failed; most are answered in far less. */
    private static final double LAST_RESPONSES_MILLIS = 900;
    /** How long connections are accepted once idle ones are closed, for requests that crossed the close. */
    private static final double CROSSED_REQUESTS_MILLIS = 400;

    /** The schedule for the longest deadline of these settings' classes. */
    static ShutdownSchedule of(PolicySettings settings) {
        double longestDeadlineMillis = 0;
        for (RequestClass requestClass : settings.classes()) {
            longestDeadlineMillis = Math.max(longestDeadlineMillis, requestClass.deadlineMillis());
        }
        return of(longestDeadlineMillis);
    }

    /** The schedule for a longest deadline of so many milliseconds. */
    static ShutdownSchedule of(double longestDeadlineMillis) {
        double failPendingAtMillis = earliestKillMillis(longestDeadlineMillis) - RESERVE_MILLIS;
        double closeIdleAtMillis =
                Math.min(failPendingAtMillis, Math.max(MIN_OPEN_MILLIS, failPendingAtMillis - LAST_RESPONSES_MILLIS));
        return new ShutdownSchedule(
                closeIdleAtMillis, closeIdleAtMillis + CROSSED_REQUESTS_MILLIS, failPendingAtMillis);
    }

    /** The earliest time at which SIGKILL may come. */
    static double earliestKillMillis(double longestDeadlineMillis) {
        return Math.min(MAX_DEADLINE_MILLIS, longestDeadlineMillis) + KILL_AFTER_DEADLINE_MILLIS;
    }
}
