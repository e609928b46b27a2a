package loadbalancer.eventloop;

/** What an event loop has done since it started. Only the loop's own thread reads or changes it. */
public final class LoopActivity {
    private long turns;
    private long socketEvents;

    /** Counts one turn and the socket events that it handled. */
    void turn(int handled) {
        turns++;
        socketEvents += handled;
    }

    /** How often the loop has looked at its sockets, whether or not it waited for them. */
    public long turns() {
        return turns;
    }

    /** How many sockets were found ready in all these turns. */
    public long socketEvents() {
        return socketEvents;
    }
}
