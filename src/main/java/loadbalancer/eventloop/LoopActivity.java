package loadbalancer.eventloop;

/** Counters of what an event loop has done since it started. Only the loop's own thread reads or changes them. */
public final class LoopActivity {
    private long turns;
    private long socketEvents;

    /** Makes counters that start at zero. */
    public LoopActivity() {}

    /**
     * Counts one turn of the loop.
     *
     * @param readySockets the socket events that the turn handled
     */
    void recordTurn(int readySockets) {
        turns++;
        socketEvents += readySockets;
    }

    /** Returns how often the loop has selected its sockets, whether or not it waited for them. */
    public long turns() {
        return turns;
    }

    /** Returns how many sockets were found ready in all turns together. */
    public long socketEvents() {
        return socketEvents;
    }
}
