package loadbalancer.eventloop;

/**
 * How late the event loop recently ran what was due, and the safety margin that follows for a client's timeout. A
 * request may have waited that long before it was read, and its response may wait that long again.
 */
public final class LoopLateness {
    /** For the request's way here and its response's way back. */
    private static final double MAX_TRANSFER_MARGIN_MILLIS = 25;
    /** The most of a short timeout that is set aside for both ways. */
    private static final double MAX_TRANSFER_FRACTION = 0.1;
    /** Once for the request, which the loop read late, and once for the response, which it will write late. */
    private static final double LATENESS_FACTOR = 2;
    /** The most of a short timeout that is set aside for a late loop. */
    private static final double MAX_LATENESS_FRACTION = 0.3;
    /** After which time half of a lateness is forgotten. */
    private static final double HALF_LIFE_MILLIS = 1500;
    /** Greater latenesses count as this one, so that one long stall does not shorten timeouts for long. */
    private static final double MAX_LATENESS_MILLIS = 1000;

    private final Clock clock;
    private double latenessMillis;
    private double measuredAtMillis;
    private double longestMillis;

    /** Makes a measure for a loop that has been on time so far. */
    public LoopLateness(Clock clock) {
        this.clock = clock;
    }

    /**
     * Records that something runs now.
     *
     * @param dueMillis when it was due, in the clock's milliseconds
     */
    public void recordRun(double dueMillis) {
        double nowMillis = clock.now();
        double lateMillis = nowMillis - dueMillis;
        longestMillis = Math.max(longestMillis, lateMillis);
        if (lateMillis > current()) {
            latenessMillis = Math.min(MAX_LATENESS_MILLIS, lateMillis);
            measuredAtMillis = nowMillis;
        }
    }

    /** Returns by how many milliseconds something ran late at the most, since the loop was made. */
    public double longest() {
        return longestMillis;
    }

    /** Returns the recent lateness in milliseconds; it decays exponentially. */
    public double current() {
        return latenessMillis * Math.pow(0.5, (clock.now() - measuredAtMillis) / HALF_LIFE_MILLIS);
    }

    /** Returns the milliseconds to subtract from a client's timeout, given in milliseconds, at the recent lateness. */
    public double safetyMargin(double timeoutMillis) {
        return safetyMargin(timeoutMillis, current());
    }

    /** Returns the milliseconds to subtract from a client's timeout at this lateness, both in milliseconds. */
    public static double safetyMargin(double timeoutMillis, double latenessMillis) {
        return Math.min(MAX_TRANSFER_MARGIN_MILLIS, timeoutMillis * MAX_TRANSFER_FRACTION)
                + Math.min(LATENESS_FACTOR * latenessMillis, timeoutMillis * MAX_LATENESS_FRACTION);
    }
}
