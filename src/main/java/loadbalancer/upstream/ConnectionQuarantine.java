package loadbalancer.upstream;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import loadbalancer.eventloop.Clock;

/** Owns the quarantined connections and the suspension of reuse. */
final class ConnectionQuarantine implements ConnectionReuse {
    /** How long a connection is quarantined; surplus responses come some milliseconds late. */
    private static final long QUARANTINE_MILLIS = 30;
    /**
     * How long no connection is reused after a surplus response. Once the next request is written, a
     * late surplus response can't be distinguished from the awaited one, however long the quarantine was.
     */
    private static final double REUSE_SUSPENSION_MILLIS = 30_000;

    private final EventLoop loop;
    private final Clock clock;
    /** The longest quarantined first. */
    private final ArrayDeque<EndpointConnection> quarantined = new ArrayDeque<>();

    private double reuseSuspendedUntilMillis = Double.NEGATIVE_INFINITY;

    /** A quarantine without connections, with reuse allowed. */
    ConnectionQuarantine(EventLoop loop, Clock clock) {
        this.loop = loop;
        this.clock = clock;
    }

    @Override
    public boolean reuseAllowed() {
        return clock.now() >= reuseSuspendedUntilMillis;
    }

    @Override
    public void suspendReuse() {
        reuseSuspendedUntilMillis = clock.now() + REUSE_SUSPENSION_MILLIS;
    }

    // The loop reads whatever has come before it runs the release, so that a connection is quarantined however late
    // the loop is.
    @Override
    public void quarantine(EndpointConnection connection) {
        quarantined.addLast(connection);
        loop.schedule(
                () -> {
                    quarantined.remove(connection);
                    connection.release();
                },
                QUARANTINE_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Removes the connection that has been quarantined for the longest, or returns null. */
    EndpointConnection takeOldest() {
        return quarantined.pollFirst();
    }
}
