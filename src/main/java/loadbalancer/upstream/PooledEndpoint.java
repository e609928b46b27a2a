package loadbalancer.upstream;

import java.net.SocketAddress;
import java.util.ArrayDeque;
import loadbalancer.discovery.EndpointList;

/**
 * An endpoint on the list and its idle connections. Once retired it stays so: an endpoint that comes back, has moved or
 * has restarted is another one.
 */
final class PooledEndpoint {
    /** No endpoint is assumed to close connections that have been idle for less. */
    private static final double MIN_IDLE_LIMIT_MILLIS = 50;
    /** Fraction of the idle time after which an endpoint was found to have closed a connection. */
    private static final double IDLE_LIMIT_REDUCTION = 0.5;
    /** Growth of a reduced limit at each sweep. */
    private static final double IDLE_LIMIT_GROWTH = 1.2;

    /** The longest idle first. */
    private final ArrayDeque<EndpointConnection> idle = new ArrayDeque<>();

    private final SocketAddress address;
    private final double startedAtMillis;
    private final double maxIdleMillis;
    private double idleLimitMillis;
    private boolean retired;

    /**
     * An endpoint without connections.
     *
     * @param maxIdleMillis how long an idle connection may still be used
     */
    PooledEndpoint(EndpointList.Entry entry, double maxIdleMillis) {
        this.address = entry.address();
        this.startedAtMillis = entry.endpoint().startedAtMillis();
        this.maxIdleMillis = maxIdleMillis;
        this.idleLimitMillis = maxIdleMillis;
    }

    SocketAddress address() {
        return address;
    }

    /** True if the list names the same process at the same address. */
    boolean matches(EndpointList.Entry entry) {
        return address.equals(entry.address())
                && startedAtMillis == entry.endpoint().startedAtMillis();
    }

    /** True if nothing new may be sent to it. */
    boolean retired() {
        return retired;
    }

    /** Closes its idle connections and lets nothing new be sent to it. */
    void retire() {
        retired = true;
        for (EndpointConnection connection : idle) {
            connection.close();
        }
        idle.clear();
    }

    void addIdle(EndpointConnection connection) {
        idle.addLast(connection);
    }

    void removeIdle(EndpointConnection connection) {
        idle.remove(connection);
    }

    /** Since when its longest idle connection has been idle, or positive infinity if it has none. */
    double oldestIdleSinceMillis() {
        return idle.isEmpty() ? Double.POSITIVE_INFINITY : idle.peekFirst().idleSinceMillis();
    }

    /** Removes the connection that has been idle for the longest, or returns null. */
    EndpointConnection takeOldestIdle() {
        return idle.pollFirst();
    }

    /**
     * Removes an idle connection for use, or returns null. It is the one used last, so that surplus connections reach
     * the idle limit and are closed.
     *
     * @param reuseAllowed true if a connection may carry a second request
     */
    EndpointConnection takeIdle(double nowMillis, boolean reuseAllowed) {
        EndpointConnection connection = idle.pollLast();
        while (connection != null && !usable(connection, nowMillis, reuseAllowed)) {
            connection.close();
            connection = idle.pollLast();
        }
        return connection;
    }

    private boolean usable(EndpointConnection connection, double nowMillis, boolean reuseAllowed) {
        return connection.active()
                && connection.idleSinceMillis() >= nowMillis - idleLimitMillis
                && (reuseAllowed || !connection.used());
    }

    /** Closes the connections that have been idle for too long, and lets a reduced idle limit grow again. */
    void sweep(double nowMillis) {
        idleLimitMillis = Math.min(maxIdleMillis, idleLimitMillis * IDLE_LIMIT_GROWTH);
        while (!idle.isEmpty() && idle.peekFirst().idleSinceMillis() < nowMillis - idleLimitMillis) {
            idle.pollFirst().close();
        }
    }

    /** Reduces the idle limit after a request met a connection that the endpoint had closed. */
    void recordClosedAfterIdle(double idleMillis) {
        if (idleMillis > MIN_IDLE_LIMIT_MILLIS) {
            idleLimitMillis = Math.max(MIN_IDLE_LIMIT_MILLIS, idleMillis * IDLE_LIMIT_REDUCTION);
        }
    }
}
