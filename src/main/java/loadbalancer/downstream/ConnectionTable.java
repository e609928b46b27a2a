package loadbalancer.downstream;

import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import loadbalancer.eventloop.Clock;

/** The open connections from the application: bounds how many there are, and how long each may stay in a state. */
final class ConnectionTable {
    /**
     * A complete request must be received within this time, or is answered 408: the protocol has bad clients answered
     * within 3 s.
     */
    private static final double MAX_RECEIVE_MILLIS = 2500;
    /** A client that has not read its response after this time has left. */
    private static final double MAX_WRITE_MILLIS = 2500;
    /** A connection that has been idle for so long may be closed when there are many. */
    private static final double MIN_IDLE_MILLIS = 2000;
    /** Good clients send a complete request in far less; a slower one may be closed in favour of a new connection. */
    private static final double MIN_SLOW_MILLIS = 1000;
    /** An idle connection is closed after a minute in any case. */
    private static final double MAX_IDLE_MILLIS = 60_000;
    /** Connections are many, and idle ones are closed early, beyond a quarter of those allowed. */
    private static final int MANY_CONNECTIONS_DIVISOR = 4;

    private final Clock clock;
    private final int maxConnections;
    private final Set<ClientConnection> connections = new LinkedHashSet<>();

    /** An empty table. */
    ConnectionTable(Clock clock, int maxConnections) {
        this.clock = clock;
        this.maxConnections = maxConnections;
    }

    /** Adds a new connection, and closes one if there are too many. */
    void add(ClientConnection connection) {
        connections.add(connection);
        if (connections.size() > maxConnections) {
            evictFor(connection);
        }
    }

    /** Removes a connection that was closed; does nothing if it was removed before. */
    void remove(ClientConnection connection) {
        connections.remove(connection);
    }

    int size() {
        return connections.size();
    }

    /** True if a connection has a request that is being received or answered. */
    boolean hasBusy() {
        for (ClientConnection connection : connections) {
            if (connection.state().isBusy()) {
                return true;
            }
        }
        return false;
    }

    /** Closes all connections that are in this state. */
    void closeAll(ConnectionState state) {
        for (ClientConnection connection : List.copyOf(connections)) {
            closeIf(connection, connection.state() == state);
        }
    }

    /** Closes connections whose time in their state is over, and idle ones earlier while there are many connections. */
    void closeExpired() {
        double nowMillis = clock.now();
        for (ClientConnection connection : List.copyOf(connections)) {
            closeIfExpired(connection, nowMillis - connection.sinceMillis());
        }
        // Clients that send one request and stay leave no connections for those that send again.
        ClientConnection idle = oldest(ConnectionState.IDLE);
        while (connections.size() > maxConnections / MANY_CONNECTIONS_DIVISOR
                && idle != null
                && nowMillis - idle.sinceMillis() > MIN_IDLE_MILLIS) {
            idle.close();
            idle = oldest(ConnectionState.IDLE);
        }
    }

    private static void closeIfExpired(ClientConnection connection, double ageMillis) {
        switch (connection.state()) {
            case NEW -> closeIf(connection, ageMillis > MAX_RECEIVE_MILLIS);
            case IDLE -> closeIf(connection, ageMillis > MAX_IDLE_MILLIS);
            case READING_REQUEST -> {
                if (connection.waitedUnreadTooLong()) {
                    connection.refuseUnread();
                } else if (ageMillis > MAX_RECEIVE_MILLIS) {
                    connection.requestTimedOut();
                }
            }
            case WRITING_RESPONSE, CLOSING, LINGERING -> closeIf(connection, ageMillis > MAX_WRITE_MILLIS);
            case REQUEST_COMPLETE, AWAITING_RESPONSE -> {}
        }
    }

    // To stop accepting instead would let silent connections lock out good clients, and to accept more would use up
    // the descriptors. The longest idle connection goes, else the one whose invalid request was answered the
    // longest ago, else the longest silent, else the slowest to send.
    private void evictFor(ClientConnection newest) {
        double nowMillis = clock.now();
        Map<ConnectionState, ClientConnection> oldest = oldestOfEachState();
        ClientConnection idle = oldest.get(ConnectionState.IDLE);
        ClientConnection lingering = oldest.get(ConnectionState.LINGERING);
        ClientConnection silent = oldest.get(ConnectionState.NEW);
        ClientConnection slow = oldest.get(ConnectionState.READING_REQUEST);
        if (idle != null && nowMillis - idle.sinceMillis() > MIN_IDLE_MILLIS) {
            idle.close();
        } else if (lingering != null) {
            lingering.close();
        } else if (silent != newest || slow == null || nowMillis - slow.sinceMillis() < MIN_SLOW_MILLIS) {
            silent.close();
        } else {
            slow.close();
        }
    }

    // In one pass: under a flood of connections this runs for each one that is accepted.
    private Map<ConnectionState, ClientConnection> oldestOfEachState() {
        Map<ConnectionState, ClientConnection> oldest = new EnumMap<>(ConnectionState.class);
        for (ClientConnection connection : connections) {
            oldest.merge(connection.state(), connection, ConnectionTable::older);
        }
        return oldest;
    }

    private static ClientConnection older(ClientConnection first, ClientConnection second) {
        return second.sinceMillis() < first.sinceMillis() ? second : first;
    }

    /** Ends the request that has been coming for the longest with an error, if good ones take less time. */
    void evictSlowest() {
        ClientConnection slow = oldest(ConnectionState.READING_REQUEST);
        if (slow != null && clock.now() - slow.sinceMillis() >= MIN_SLOW_MILLIS) {
            slow.requestTimedOut();
        }
    }

    private ClientConnection oldest(ConnectionState state) {
        ClientConnection oldest = null;
        for (ClientConnection connection : connections) {
            if (connection.state() == state && (oldest == null || connection.sinceMillis() < oldest.sinceMillis())) {
                oldest = connection;
            }
        }
        return oldest;
    }

    private static void closeIf(ClientConnection connection, boolean due) {
        if (due) {
            connection.close();
        }
    }
}
