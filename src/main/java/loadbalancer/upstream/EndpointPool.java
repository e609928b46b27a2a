package loadbalancer.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import loadbalancer.discovery.EndpointList;
import loadbalancer.eventloop.Clock;
import loadbalancer.eventloop.SelectBarrier;
import loadbalancer.memory.MemoryBudget;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.EndpointStatus;

/**
 * Pools connections to all endpoints. Each attempt is sent at most once, on a connection of its own while it lasts; the
 * pool never retries. Everything here runs on the one event loop.
 */
public final class EndpointPool {
    /** Fraction of the endpoints' idle limit in the settings, so that no request meets a connection being closed. */
    private static final double IDLE_LIMIT_FRACTION = 0.75;

    private static final int MIN_READ_BYTES = 64;
    private static final int FIRST_READ_BYTES = 2048;
    /** A buffer that is read into stays with its connection while the last line in it is not complete. */
    private static final int MAX_READ_BYTES = 8192;

    private static final long SWEEP_INTERVAL_MILLIS = 1000;

    private final EventLoop loop;
    private final Clock clock;
    private final MemoryBudget memory;
    private final Bootstrap bootstrap;
    private final double maxIdleMillis;
    private final int maxConnections;
    private final ConnectionQuarantine quarantine;
    private final Map<String, PooledEndpoint> endpoints = new HashMap<>();
    private int openConnections;

    /**
     * A pool that knows no endpoint.
     *
     * @param channels the class of channels that it connects
     * @param connectTimeoutMillis milliseconds after which a connection attempt fails
     * @param endpointIdleMillis milliseconds after which an endpoint closes an idle connection
     * @param maxConnections connections open at once to all endpoints together
     * @param memory what their responses may hold, together with all others that draw from it
     */
    public EndpointPool(
            EventLoop loop,
            Class<? extends Channel> channels,
            Clock clock,
            int connectTimeoutMillis,
            double endpointIdleMillis,
            int maxConnections,
            MemoryBudget memory) {
        this.memory = memory;
        this.loop = loop;
        this.clock = clock;
        this.maxIdleMillis = endpointIdleMillis * IDLE_LIMIT_FRACTION;
        this.maxConnections = maxConnections;
        this.quarantine = new ConnectionQuarantine(loop, clock);
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channel(channels)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES))
                // Reports the end of a stream by an event of its own, which distinguishes it from other closes.
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true);
        loop.scheduleAtFixedRate(this::sweep, SWEEP_INTERVAL_MILLIS, SWEEP_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Applies an endpoint list. An endpoint that is draining or removed, has moved or has restarted is retired: its
     * idle connections close, and those in use or being established take no further request. Changes cost time by their
     * own number, whatever else is listed.
     */
    public void update(EndpointList list) {
        Map<String, PooledEndpoint> before = list.snapshot() ? new HashMap<>(endpoints) : pooled(list);
        if (list.snapshot()) {
            endpoints.clear();
        }
        for (EndpointList.Entry entry : list.entries()) {
            String id = entry.endpoint().id();
            if (entry.endpoint().status() == EndpointStatus.READY) {
                PooledEndpoint known = before.get(id);
                boolean unchanged = known != null && known.matches(entry);
                endpoints.put(id, unchanged ? known : new PooledEndpoint(entry, maxIdleMillis));
            } else {
                endpoints.remove(id);
            }
        }
        before.forEach((id, endpoint) -> {
            if (endpoints.get(id) != endpoint) {
                endpoint.retire();
            }
        });
    }

    private Map<String, PooledEndpoint> pooled(EndpointList named) {
        Map<String, PooledEndpoint> found = new HashMap<>();
        for (EndpointList.Entry entry : named.entries()) {
            PooledEndpoint endpoint = endpoints.get(entry.endpoint().id());
            if (endpoint != null) {
                found.put(entry.endpoint().id(), endpoint);
            }
        }
        return found;
    }

    /**
     * Sends a request to an endpoint after the loop's next select. If that is impossible, the listener gets an outcome
     * that proves it, at once for an unknown endpoint.
     */
    public EndpointAttempt send(String endpointId, EndpointAttempt.Listener listener) {
        EndpointAttempt attempt = new EndpointAttempt(listener);
        PooledEndpoint endpoint = endpoints.get(endpointId);
        if (endpoint == null) {
            attempt.end(AttemptOutcome.NOT_SENT);
        } else {
            SelectBarrier.runAfterSelect(loop, () -> begin(endpoint, attempt));
        }
        return attempt;
    }

    private void begin(PooledEndpoint endpoint, EndpointAttempt attempt) {
        if (attempt.completed()) {
            return;
        }
        EndpointConnection idle = endpoint.retired() ? null : endpoint.takeIdle(clock.now(), quarantine.reuseAllowed());
        if (idle != null) {
            idle.begin(attempt);
        } else if (!endpoint.retired() && (openConnections < maxConnections || closeOldestUnused())) {
            connect(endpoint, attempt);
        } else {
            // Nothing was sent, so that the policy may choose another endpoint.
            attempt.end(AttemptOutcome.CONNECT_FAILED);
        }
    }

    private void connect(PooledEndpoint endpoint, EndpointAttempt attempt) {
        EndpointConnection connection = new EndpointConnection(quarantine, loop, clock, endpoint, memory);
        openConnections++;
        ChannelFuture connecting = bootstrap
                .clone()
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        connection.addTo(channel.pipeline());
                    }
                })
                .connect(endpoint.address());
        Channel channel = connecting.channel();
        connection.setChannel(channel);
        // Without a free descriptor Netty completes this on another thread; the barrier returns to the loop.
        connecting.addListener(connect -> {
            if (connect.isSuccess()) {
                channel.closeFuture().addListener(closed -> openConnections--);
            }
            SelectBarrier.runAfterSelect(loop, () -> connectEnded(connection, attempt, connect.isSuccess()));
        });
    }

    private void connectEnded(EndpointConnection connection, EndpointAttempt attempt, boolean connected) {
        if (connected) {
            connection.begin(attempt);
        } else {
            // A channel that was never connected has no close that would count it down.
            openConnections--;
            attempt.end(AttemptOutcome.CONNECT_FAILED);
        }
    }

    private void sweep() {
        double now = clock.now();
        for (PooledEndpoint endpoint : endpoints.values()) {
            endpoint.sweep(now);
        }
    }

    // Idle connections of all endpoints first, then quarantined ones; false if there are neither.
    private boolean closeOldestUnused() {
        PooledEndpoint oldest = null;
        double idleSinceMillis = Double.POSITIVE_INFINITY;
        for (PooledEndpoint endpoint : endpoints.values()) {
            if (endpoint.oldestIdleSinceMillis() < idleSinceMillis) {
                oldest = endpoint;
                idleSinceMillis = endpoint.oldestIdleSinceMillis();
            }
        }
        EndpointConnection unused = oldest == null ? quarantine.takeOldest() : oldest.takeOldestIdle();
        if (unused == null) {
            return false;
        }
        unused.close();
        return true;
    }
}
