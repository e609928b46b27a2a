package loadbalancer.policy;

/**
 * What the lines of one open watch prove. Discovery writes a line at least every 2 s; a path that delays them lets them
 * come further apart, each a little later than the one before. The delay that has added up is known from the times at
 * which they come, and a watch whose lines are too late, or that has been silent, proves nothing any more. Times are in
 * milliseconds on the policy's clock.
 *
 * <p>The delay has a bound, too: the first line was written after its call was sent, an empty one an interval after the
 * line before it. A list may follow the line before at once, so that the bound grows by the time between the two. An
 * empty line that comes a whole interval after the line before has met no other bytes on its way; what it is late by is
 * the path's own delay, which was bounded before.
 */
public final class WatchEvidence {
    /** The service writes an empty line after so long without a change. */
    private static final double LINE_INTERVAL_MILLIS = 2000;
    /** By how much the service's own intervals may differ. */
    private static final double INTERVAL_TOLERANCE_MILLIS = 20;
    /** A line that is later than this costs a further call. */
    private static final double MIN_SILENCE_MILLIS = 2250;
    /** Sidecars whose watches fell silent together do not all call together. */
    private static final double SILENCE_SPREAD_MILLIS = 500;

    private final double maxSilenceMillis;
    private double lastLineMillis;
    private double delayMillis;
    private double boundMillis;
    /** The bound of a line that meets no other bytes on its way. */
    private double idlePathBoundMillis;

    private boolean lastLineEmpty;
    private boolean unreliable;

    /**
     * The evidence of a watch whose first list has come now.
     *
     * @param sentMillis when its call was sent
     * @param random from 0 to 1
     */
    public WatchEvidence(double nowMillis, double sentMillis, double random) {
        this.lastLineMillis = nowMillis;
        this.boundMillis = nowMillis - sentMillis;
        this.idlePathBoundMillis = boundMillis;
        this.maxSilenceMillis = MIN_SILENCE_MILLIS + SILENCE_SPREAD_MILLIS * random;
    }

    /**
     * A line has come.
     *
     * @param empty true for an empty line, which comes one interval after the line before; false for a list, which may
     *     come at any time
     * @return true if the watch can still be relied on
     */
    public boolean lineReceived(double nowMillis, boolean empty) {
        if (silent(nowMillis)) {
            unreliable = true;
            return false;
        }
        double gapMillis = nowMillis - lastLineMillis;
        double longestGapMillis = LINE_INTERVAL_MILLIS + INTERVAL_TOLERANCE_MILLIS;
        if (empty || gapMillis > longestGapMillis) {
            delayMillis = Math.max(0, delayMillis + gapMillis - longestGapMillis);
        }
        if (empty) {
            boundEmptyLine(gapMillis);
        } else {
            boundMillis += gapMillis;
        }
        lastLineMillis = nowMillis;
        lastLineEmpty = empty;
        return true;
    }

    // Behind a list an empty line may come sooner: the service may write those to all watches together.
    private void boundEmptyLine(double gapMillis) {
        double addedMillis = gapMillis - LINE_INTERVAL_MILLIS;
        boundMillis = Math.max(0, boundMillis + (lastLineEmpty ? addedMillis : Math.max(0, addedMillis)));
        if (addedMillis >= -INTERVAL_TOLERANCE_MILLIS) {
            idlePathBoundMillis = Math.max(0, idlePathBoundMillis + addedMillis);
            boundMillis = Math.min(boundMillis, idlePathBoundMillis);
        }
        idlePathBoundMillis = Math.min(idlePathBoundMillis, boundMillis);
    }

    /** Returns the time at which the last line was written, as far as its delay is known. */
    public double writtenAtMillis() {
        return lastLineMillis - delayMillis;
    }

    /** Returns the earliest time at which the last line may have been written: the list is complete as of then. */
    public double earliestWrittenMillis() {
        return lastLineMillis - boundMillis;
    }

    /** Returns by how much the last line was late at the most. */
    public double delayBoundMillis() {
        return boundMillis;
    }

    /** Returns by how much a line was late at the most that met no other bytes on its way. */
    public double idlePathBoundMillis() {
        return idlePathBoundMillis;
    }

    /** Returns true once the watch has been silent, or its lines have come too late. */
    public boolean silent(double nowMillis) {
        return unreliable || nowMillis - writtenAtMillis() > maxSilenceMillis;
    }
}
