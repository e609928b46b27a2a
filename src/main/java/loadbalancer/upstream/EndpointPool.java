package loadbalancer.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import loadbalancer.discovery.EndpointList;
import loadbalancer.eventloop.Clock;
import loadbalancer.eventloop.SelectBarrier;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.EndpointStatus;

/**
 * Connections to endpoints, each with one request at a time, and what became of each attempt. It sends what
 * it is told once and never again. Everything here runs on the one event loop.
 */
public final class EndpointPool {
    /** Of the endpoint's own idle limit: a request must never cross the endpoint's closing. */
    private static final double IDLE_SHARE = 0.75;

    private static final long SWEEP_MS = 1000;
    /** How long a connection rests after an answer, for a second one behind it to show itself. */
    private static final long REST_MS = 30;
    /**
     * How long no connection is used twice after a second answer has come: once the next request is written,
     * nothing tells a late one from the answer that is waited for, however long a connection rested before.
     */
    private static final double DISTRUST_MS = 30_000;

    private final EventLoop loop;
    private final Clock clock;
    private final Bootstrap bootstrap;
    private final double idleLimit;
    private final int maxOpen;
    private final Map<String, PooledEndpoint> endpoints = new HashMap<>();
    private final ArrayDeque<EndpointConnection> resting = new ArrayDeque<>();
    private int open;
    private double distrustUntil = Double.NEGATIVE_INFINITY;

    /**
     * A pool.
     *
     * @param channels the kind of connections
     * @param endpointIdle milliseconds after which an endpoint closes an idle connection
     * @param maxOpen connections open at once to all endpoints together
     */
    public EndpointPool(
            EventLoop loop,
            Class<? extends Channel> channels,
            Clock clock,
            int connectTimeout,
            double endpointIdle,
            int maxOpen) {
        this.loop = loop;
        this.clock = clock;
        this.idleLimit = endpointIdle * IDLE_SHARE;
        this.maxOpen = maxOpen;
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channel(channels)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeout)
                // Has the end of a stream told by an event of its own; else it can't be told from other closes.
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true);
        loop.scheduleAtFixedRate(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * Takes in the list. What drains, is gone, has moved or was started anew ends as an endpoint here, for good:
     * its idle connections close, and none that comes up later or is still in use takes anything new.
     */
    public void update(EndpointList list) {
        Map<String, PooledEndpoint> before = new HashMap<>(endpoints);
        if (list.snapshot()) {
            endpoints.clear();
        }
        for (EndpointList.Entry entry : list.entries()) {
            String id = entry.endpoint().id();
            if (entry.endpoint().status() == EndpointStatus.READY) {
                PooledEndpoint e = before.get(id);
                endpoints.put(id, e != null && e.is(entry) ? e : new PooledEndpoint(entry, idleLimit));
            } else {
                endpoints.remove(id);
            }
        }
        before.forEach((id, e) -> {
            if (endpoints.get(id) != e) {
                e.end();
            }
        });
    }

    /** Sends a request to an endpoint after a fresh look at the sockets, or tells the listener why it can't. */
    public EndpointAttempt send(String id, EndpointAttempt.Listener listener) {
        EndpointAttempt attempt = new EndpointAttempt(listener);
        PooledEndpoint endpoint = endpoints.get(id);
        if (endpoint == null) {
            attempt.end(AttemptOutcome.NOT_SENT, null, null);
        } else {
            SelectBarrier.runAfterSelect(loop, () -> begin(endpoint, attempt));
        }
        return attempt;
    }

    private void begin(PooledEndpoint endpoint, EndpointAttempt attempt) {
        if (attempt.over()) {
            return;
        }
        EndpointConnection idle = endpoint.ended() ? null : endpoint.takeIdle(clock.now(), trusted());
        if (idle != null) {
            idle.begin(attempt);
        } else if (!endpoint.ended() && (open < maxOpen || closeOldestIdle())) {
            connect(endpoint, attempt);
        } else {
            // Guards against running out of descriptors: nothing was sent, and the module may go elsewhere.
            attempt.end(AttemptOutcome.CONNECT_FAILED, null, null);
        }
    }

    private void connect(PooledEndpoint endpoint, EndpointAttempt attempt) {
        EndpointConnection connection = new EndpointConnection(this, loop, clock, endpoint);
        open++;
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
        connection.channel(channel);
        // Either way after a fresh look, and on the loop: where no descriptor is left, another thread tells so.
        connecting.addListener(f -> {
            if (f.isSuccess()) {
                channel.closeFuture().addListener(closed -> open--);
            }
            SelectBarrier.runAfterSelect(loop, () -> connected(connection, attempt, f.isSuccess()));
        });
    }

    private void connected(EndpointConnection connection, EndpointAttempt attempt, boolean up) {
        if (up) {
            connection.begin(attempt);
        } else {
            // Guards against counting for ever what never was: there is no channel whose end would tell.
            open--;
            attempt.end(AttemptOutcome.CONNECT_FAILED, null, null);
        }
    }

    /** True if connections may carry a second request. */
    boolean trusted() {
        return clock.now() >= distrustUntil;
    }

    /** A second answer has come where none was due: no connection is used twice for a while. */
    void distrust() {
        distrustUntil = clock.now() + DISTRUST_MS;
    }

    /**
     * Lets a connection rest after an answer and releases it then. Guards against bytes that follow a little later,
     * which would answer the next request: the loop reads whatever has come before it runs the release, so that a
     * connection rests, however late the loop.
     */
    void rest(EndpointConnection connection) {
        resting.addLast(connection);
        loop.schedule(
                () -> {
                    resting.remove(connection);
                    connection.release();
                },
                REST_MS,
                TimeUnit.MILLISECONDS);
    }

    private void sweep() {
        double now = clock.now();
        for (PooledEndpoint endpoint : endpoints.values()) {
            endpoint.sweep(now);
        }
    }

    private boolean closeOldestIdle() {
        PooledEndpoint oldest = null;
        double since = Double.POSITIVE_INFINITY;
        for (PooledEndpoint endpoint : endpoints.values()) {
            if (endpoint.oldestIdleSince() < since) {
                oldest = endpoint;
                since = endpoint.oldestIdleSince();
            }
        }
        EndpointConnection victim = oldest == null ? resting.pollFirst() : oldest.takeOldestIdle();
        if (victim == null) {
            return false;
        }
        victim.close();
        return true;
    }
}
