package loadbalancer.discovery;

import java.util.function.Consumer;

/**
 * Checks at run time that the endpoint list is never left unwatched: there is a watch that can be relied on, or a call
 * waits, or one is scheduled. Times are in milliseconds.
 */
final class WatchGuard {
    /** What ends a call and what schedules the next one may be apart by a turn of the loop. */
    private static final double MAX_UNWATCHED_MILLIS = 1000;

    private final Consumer<String> log;
    /** NaN while the list is watched. */
    private double unwatchedSinceMillis = Double.NaN;

    private long violations;

    WatchGuard(Consumer<String> log) {
        this.log = log;
    }

    /**
     * Returns true if a call has to begin now, since nothing else would begin one.
     *
     * @param callNeeded true if no call waits and no watch is open that can be relied on
     * @param nextCallMillis when the next call is scheduled; NaN if none is
     */
    boolean unwatched(double nowMillis, boolean callNeeded, double nextCallMillis) {
        if (!callNeeded || !Double.isNaN(nextCallMillis)) {
            unwatchedSinceMillis = Double.NaN;
            return false;
        }
        if (Double.isNaN(unwatchedSinceMillis)) {
            unwatchedSinceMillis = nowMillis;
        }
        if (nowMillis - unwatchedSinceMillis < MAX_UNWATCHED_MILLIS) {
            return false;
        }
        unwatchedSinceMillis = Double.NaN;
        violations++;
        if (violations == 1) {
            log.accept("rule violated: the endpoint list is not watched and no call is scheduled; one begins now");
        }
        return true;
    }

    /** Returns how often the list was found unwatched. */
    long violations() {
        return violations;
    }
}
