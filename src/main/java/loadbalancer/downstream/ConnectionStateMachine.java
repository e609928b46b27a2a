package loadbalancer.downstream;

import loadbalancer.eventloop.Clock;

/** The state of one client connection and the time from which its timeout counts. */
final class ConnectionStateMachine {
    private final Clock clock;
    private ConnectionState state = ConnectionState.NEW;
    private double sinceMillis;

    /** A machine in {@link ConnectionState#NEW}; {@link #start} begins its time. */
    ConnectionStateMachine(Clock clock) {
        this.clock = clock;
    }

    /** Begins the time of the first state, when the connection has become active. */
    void start() {
        sinceMillis = clock.now();
    }

    /**
     * Enters the next state. One that {@link ConnectionState#allows} rules out is a programming error: it fails where
     * assertions are enabled, as they are in tests, and is entered all the same where they are not.
     */
    void enter(ConnectionState next) {
        assert state.allows(next) : state + " to " + next;
        // A client that is silent for a while and then slow has one timeout for both, counted from its connection.
        boolean firstRequestBegins = state == ConnectionState.NEW && next == ConnectionState.READING_REQUEST;
        if (!firstRequestBegins) {
            sinceMillis = clock.now();
        }
        state = next;
    }

    ConnectionState state() {
        return state;
    }

    /**
     * The time at which the state was entered, in milliseconds of the clock; that of the connection's start while the
     * first request is read.
     */
    double sinceMillis() {
        return sinceMillis;
    }
}
