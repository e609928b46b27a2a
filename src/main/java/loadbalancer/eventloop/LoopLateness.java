package loadbalancer.eventloop;

/**
 * How late the loop lately ran what was due, and what that takes off a client's wait. A request may have waited so
 * long before it was read, and its answer may wait so long again.
 */
public final class LoopLateness {
    /** What a request's way here and its answer's way back take; of a short wait no more than this share. */
    private static final double WAY_MS = 25;

    private static final double MAX_WAY_SHARE = 0.1;
    /** Once for the request that the loop found late and once for the answer that it will give late. */
    private static final double TIMES_LATE = 2;
    /** Of a short wait no more than this share is taken off for a late loop. */
    private static final double MAX_LATE_SHARE = 0.3;

    private static final double HALF_LIFE_MS = 1500;
    /** A loop that was later than this is not remembered as later. */
    private static final double MAX_REMEMBERED_MS = 1000;

    private final Clock clock;
    private double late;
    private double lateAt;

    /** A loop that has been in time so far. */
    public LoopLateness(Clock clock) {
        this.clock = clock;
    }

    /** Notes that something runs now that was due then, in the clock's milliseconds. */
    public void recordRun(double due) {
        double now = clock.now();
        if (now - due > current()) {
            late = Math.min(MAX_REMEMBERED_MS, now - due);
            lateAt = now;
        }
    }

    /** How late the loop lately was, in milliseconds; it falls by half in a while. */
    public double current() {
        return late * Math.pow(0.5, (clock.now() - lateAt) / HALF_LIFE_MS);
    }

    /** The milliseconds to take off a client's wait of this many. */
    public double safetyMargin(double timeout) {
        return safetyMargin(timeout, current());
    }

    /** The milliseconds to take off a client's wait while the loop is so late. */
    public static double safetyMargin(double timeout, double late) {
        return Math.min(WAY_MS, timeout * MAX_WAY_SHARE) + Math.min(TIMES_LATE * late, timeout * MAX_LATE_SHARE);
    }
}
