package loadbalancer.downstream;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.SocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import loadbalancer.eventloop.Clock;
import loadbalancer.eventloop.SelectBarrier;
import loadbalancer.policy.PolicySettings;
import loadbalancer.proxy.RequestDispatcher;

/**
 * Listens for the application: how many connections it may have and for how long, readiness and the drain.
 */
public final class ClientServer {
    /** A request comes whole within this time, or is answered 408: bad clients are owed a word within 3 s. */
    private static final double MAX_RECEIVE_MS = 2500;
    /** A client that does not read its answer for so long is gone. */
    private static final double MAX_WRITE_MS = 2500;
    /** A connection without an open request may be closed from then on, when there are many. */
    private static final double MIN_IDLE_MS = 2000;
    /** A good request has come whole long before; one that has not makes room for a new connection. */
    private static final double MIN_SLOW_MS = 1000;
    /** An idle connection is closed after a minute in any case. */
    private static final double MAX_IDLE_MS = 60_000;
    /** The share of the connections allowed from which idle ones are many. */
    private static final int MANY_SHARE = 4;

    private static final long SWEEP_MS = 200;
    /** Reads of one connection in a turn, as Netty has it where no other way of reading is set. */
    private static final int MAX_READS = 16;

    private final EventLoop loop;
    private final Clock clock;
    private final RequestDispatcher sidecar;
    private final RequestValidator check;
    private final ShutdownSchedule drainSchedule;
    private final int maxConnections;
    private final Set<ClientConnection> connections = new LinkedHashSet<>();
    private Channel listener;
    private boolean ready;
    private Runnable drained;
    private boolean draining;
    private boolean expired;
    private boolean accepting = true;

    /**
     * A server for one application.
     *
     * @param maxConnections connections from the application at once; beyond that, room is made
     */
    public ClientServer(
            EventLoop loop, Clock clock, RequestDispatcher sidecar, PolicySettings settings, int maxConnections) {
        this.loop = loop;
        this.clock = clock;
        this.sidecar = sidecar;
        this.check = new RequestValidator(settings);
        this.drainSchedule = ShutdownSchedule.of(settings);
        this.maxConnections = maxConnections;
        loop.scheduleAtFixedRate(
                () -> SelectBarrier.runAfterSelect(loop, this::sweep), SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
    }

    /** Listens on this address only. */
    public ChannelFuture listen(SocketAddress address) {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        // On the loop and before the first connection, which needs it.
                        listener = channel;
                        channel.pipeline().addLast(new Accepting());
                    }
                })
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        new ClientConnection(ClientServer.this, clock).addTo(channel.pipeline());
                    }
                })
                // Reads up to where nothing is left: else the end of a connection would be found a turn later
                // than the request before it, which would be sent on for a client that has gone.
                .childOption(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator()
                                .respectMaybeMoreData(false)
                                .maxMessagesPerRead(MAX_READS))
                // Accepts up to where none waits: a connection that waits when the listener closes is reset.
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new ServerChannelRecvByteBufAllocator().maxMessagesPerRead(Math.max(MAX_READS, maxConnections)))
                .bind(address);
    }

    /**
     * Guards against accepting with no descriptor left: trying again at once would spin, and the log that the
     * failure would end in opens files of its own, which would end the loop and the process.
     */
    private static final class Accepting extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ChannelConfig config = ctx.channel().config();
            config.setAutoRead(false);
            ctx.executor().schedule(() -> config.setAutoRead(true), SWEEP_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** From now on {@code /health/ready} answers 200. */
    public void markReady() {
        ready = true;
    }

    public boolean isReady() {
        return ready && drained == null;
    }

    boolean shuttingDown() {
        return draining;
    }

    /** True once whatever is still held has been failed, and nothing can be served in time any more. */
    boolean expired() {
        return expired;
    }

    RequestValidator check() {
        return check;
    }

    RequestDispatcher dispatcher() {
        return sidecar;
    }

    /** Connections from the application that are open. */
    public int connections() {
        return connections.size();
    }

    void opened(ClientConnection connection) {
        connections.add(connection);
        if (connections.size() > maxConnections) {
            makeRoom(connection);
        }
    }

    void closed(ClientConnection connection) {
        connections.remove(connection);
        finishDrain();
    }

    // Guards against running out of descriptors, and against silent connections that starve good clients,
    // as they would if accepting stopped: the longest idle goes, else the longest silent, else the slowest
    // to send.
    private void makeRoom(ClientConnection newest) {
        double now = clock.now();
        ClientConnection idle = oldest(ClientConnection.Phase.IDLE);
        ClientConnection silent = oldest(ClientConnection.Phase.SILENT);
        ClientConnection slow = oldest(ClientConnection.Phase.RECEIVING);
        if (idle != null && now - idle.since() > MIN_IDLE_MS) {
            idle.close();
        } else if (silent != newest || slow == null || now - slow.since() < MIN_SLOW_MS) {
            silent.close();
        } else {
            slow.close();
        }
    }

    private ClientConnection oldest(ClientConnection.Phase phase) {
        ClientConnection oldest = null;
        for (ClientConnection c : connections) {
            if (c.phase() == phase && (oldest == null || c.since() < oldest.since())) {
                oldest = c;
            }
        }
        return oldest;
    }

    private void sweep() {
        double now = clock.now();
        for (ClientConnection c : List.copyOf(connections)) {
            double age = now - c.since();
            switch (c.phase()) {
                case SILENT -> closeIf(c, age > MAX_RECEIVE_MS);
                case IDLE -> closeIf(c, age > MAX_IDLE_MS);
                case RECEIVING -> {
                    if (age > MAX_RECEIVE_MS) {
                        c.tooSlow();
                    }
                }
                case ANSWERING, ENDING -> closeIf(c, age > MAX_WRITE_MS);
                case RECEIVED, OPEN -> {}
            }
        }
        // Guards against clients that ask once and stay: the room they take is wanted by those that ask
        // again.
        ClientConnection idle = oldest(ClientConnection.Phase.IDLE);
        while (connections.size() > maxConnections / MANY_SHARE && idle != null && now - idle.since() > MIN_IDLE_MS) {
            idle.close();
            idle = oldest(ClientConnection.Phase.IDLE);
        }
    }

    private static void closeIf(ClientConnection connection, boolean due) {
        if (due) {
            connection.close();
        }
    }

    /**
     * Stops in the order that loses nothing: the connections that clients have are served on, for to them a closed
     * one is an outage until the next start. Then idle ones close and every answer closes its own; a request that
     * crosses such a close comes again on a new connection, and is taken for as long as that needs. What is still
     * held is failed while it can be. Each step comes after a fresh look at the sockets, for what came in a late
     * turn must not be taken for an idle connection or for none.
     */
    public void shutDown(Runnable whenDrained) {
        drained = whenDrained;
        drainStep(drainSchedule.closeIdleAt(), () -> {
            draining = true;
            closeAll(ClientConnection.Phase.IDLE);
        });
        drainStep(drainSchedule.stopAcceptingAt(), () -> {
            accepting = false;
            listener.close();
        });
        drainStep(drainSchedule.failHeldAt(), () -> {
            expired = true;
            sidecar.failPending();
            closeAll(ClientConnection.Phase.SILENT);
        });
    }

    private void drainStep(double in, Runnable step) {
        loop.schedule(
                () -> SelectBarrier.runAfterSelect(loop, () -> {
                    step.run();
                    finishDrain();
                }),
                (long) in,
                TimeUnit.MILLISECONDS);
    }

    private void closeAll(ClientConnection.Phase phase) {
        for (ClientConnection c : List.copyOf(connections)) {
            closeIf(c, c.phase() == phase);
        }
    }

    private void finishDrain() {
        if (drained != null && !accepting && !waits()) {
            Runnable r = drained;
            drained = null;
            r.run();
        }
    }

    // Once all is answered that could be, only answers that are being written keep the process.
    private boolean waits() {
        for (ClientConnection c : connections) {
            if (!expired || c.busy()) {
                return true;
            }
        }
        return false;
    }
}
