package loadbalancer.downstream;

import loadbalancer.policy.PolicySettings;
import loadbalancer.policy.RequestClass;

/**
 * When a drain takes its steps, in milliseconds after SIGTERM.
 *
 * <p>PROTOCOL, "Figures": new connections keep coming for 0.2 to 0.4 s after SIGTERM, and SIGKILL comes no sooner than
 * the longest deadline, counted as 3 s where it is longer, and 0.7 s more.
 *
 * @param closeIdleAt idle connections close, and from then on every answer closes its own
 * @param stopAcceptingAt no new connection is taken any more
 * @param failHeldAt whatever is still held is failed, and what comes later is refused at once
 */
record ShutdownSchedule(double closeIdleAt, double stopAcceptingAt, double failHeldAt) {
    private static final double LONGEST_DEADLINE_COUNTED_MS = 3000;
    private static final double KILL_AFTER_DEADLINE_MS = 700;
    /** Kept before the kill, for a late loop and for the last answers to go out. */
    private static final double RESERVE_MS = 600;
    /** New connections go on coming for up to 400 ms; the rest is for a late loop. */
    private static final double MIN_OPEN_MS = 500;
    /** What was taken last is given this long before it is failed; most answers come in far less. */
    private static final double LAST_ANSWERS_MS = 900;
    /** How long new connections are taken once idle ones close, for requests that crossed the close. */
    private static final double CROSSING_MS = 400;

    /** The schedule under these settings. */
    static ShutdownSchedule of(PolicySettings settings) {
        double longest = 0;
        for (RequestClass type : settings.classes()) {
            longest = Math.max(longest, type.deadlineMillis());
        }
        return of(longest);
    }

    /** The schedule where the longest deadline of a class is so many milliseconds. */
    static ShutdownSchedule of(double longestDeadline) {
        double failHeldAt = killAt(longestDeadline) - RESERVE_MS;
        double closeIdleAt = Math.min(failHeldAt, Math.max(MIN_OPEN_MS, failHeldAt - LAST_ANSWERS_MS));
        return new ShutdownSchedule(closeIdleAt, closeIdleAt + CROSSING_MS, failHeldAt);
    }

    /** The earliest moment at which SIGKILL may come. */
    static double killAt(double longestDeadline) {
        return Math.min(LONGEST_DEADLINE_COUNTED_MS, longestDeadline) + KILL_AFTER_DEADLINE_MS;
    }
}
