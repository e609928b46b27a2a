package loadbalancer.upstream;

import java.net.SocketAddress;
import java.util.ArrayDeque;
import loadbalancer.discovery.EndpointList;

/**
 * An endpoint on the list and its idle connections. Once it has ended it stays so: an endpoint that comes back, has
 * moved or was started anew is another one.
 */
final class PooledEndpoint {
    /** No endpoint is taken to close connections that have been idle for less. */
    private static final double MIN_IDLE_LIMIT_MS = 50;
    /** Of the idle time after which an endpoint was found to have closed a connection. */
    private static final double IDLE_LIMIT_CUT = 0.5;
    /** What a sweep adds again to a limit that was cut. */
    private static final double IDLE_LIMIT_REGAIN = 1.2;

    /** The longest idle first. */
    private final ArrayDeque<EndpointConnection> idle = new ArrayDeque<>();

    private final SocketAddress address;
    private final double startedAt;
    private final double maxIdleLimit;
    private double idleLimit;
    private boolean ended;

    /**
     * An endpoint without connections.
     *
     * @param idleLimit milliseconds for which an idle connection may still be used
     */
    PooledEndpoint(EndpointList.Entry entry, double idleLimit) {
        this.address = entry.address();
        this.startedAt = entry.endpoint().startedAtMillis();
        this.maxIdleLimit = idleLimit;
        this.idleLimit = idleLimit;
    }

    SocketAddress address() {
        return address;
    }

    /** True if this is the same process at the same place, as far as the list tells. */
    boolean is(EndpointList.Entry entry) {
        return address.equals(entry.address()) && startedAt == entry.endpoint().startedAtMillis();
    }

    boolean ended() {
        return ended;
    }

    /** Nothing new is sent to it from now on. */
    void end() {
        ended = true;
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
    double oldestIdleSince() {
        return idle.isEmpty() ? Double.POSITIVE_INFINITY : idle.peekFirst().idleSince();
    }

    /** Takes out the connection that has been idle for the longest, or null. */
    EndpointConnection takeOldestIdle() {
        return idle.pollFirst();
    }

    /**
     * An idle connection to use, or null. It is the one used last, so that those beyond need grow old and are closed.
     *
     * @param reuse true if a connection may carry a second request
     */
    EndpointConnection takeIdle(double now, boolean reuse) {
        EndpointConnection connection = idle.pollLast();
        while (connection != null && !usable(connection, now, reuse)) {
            connection.close();
            connection = idle.pollLast();
        }
        return connection;
    }

    private boolean usable(EndpointConnection connection, double now, boolean reuse) {
        return connection.active() && connection.idleSince() >= now - idleLimit && (reuse || !connection.used());
    }

    /** Closes what has been idle for too long. */
    void sweep(double now) {
        idleLimit = Math.min(maxIdleLimit, idleLimit * IDLE_LIMIT_REGAIN);
        while (!idle.isEmpty() && idle.peekFirst().idleSince() < now - idleLimit) {
            idle.pollFirst().close();
        }
    }

    /** Learns from a request that met a closed connection how long this endpoint keeps idle ones. */
    void closedAfterIdle(double idleFor) {
        if (idleFor > MIN_IDLE_LIMIT_MS) {
            idleLimit = Math.max(MIN_IDLE_LIMIT_MS, idleFor * IDLE_LIMIT_CUT);
        }
    }
}
