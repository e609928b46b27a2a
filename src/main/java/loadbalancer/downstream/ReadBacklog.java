package loadbalancer.downstream;

/**
 * Tells since when bytes of one client may have waited unread, because the connections of the loop share what a turn
 * may read. A request whose last byte has waited has come earlier than it was read.
 */
final class ReadBacklog {
    private long passes;
    /** NaN while everything that had come was read. */
    private double sinceMillis = Double.NaN;

    /**
     * A pass over the socket has ended.
     *
     * @param drained true if it has read all that had come
     */
    void passEnded(double nowMillis, boolean drained) {
        passes++;
        if (drained) {
            nothingLeft();
        } else if (Double.isNaN(sinceMillis)) {
            sinceMillis = nowMillis;
        }
    }

    /** The socket was not found readable any more: the last pass had read all that had come. */
    void nothingLeft() {
        sinceMillis = Double.NaN;
    }

    /** How often the socket has been read, in passes of several reads. */
    long passes() {
        return passes;
    }

    /** The earliest time, on the clock of {@code nowMillis}, at which a byte that is read now may have come. */
    double earliestArrivalMillis(double nowMillis) {
        return Double.isNaN(sinceMillis) ? nowMillis : sinceMillis;
    }
}
