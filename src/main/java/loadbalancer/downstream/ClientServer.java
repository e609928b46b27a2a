package loadbalancer.downstream;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import loadbalancer.eventloop.Clock;
import loadbalancer.eventloop.SelectBarrier;
import loadbalancer.memory.MemoryBudget;
import loadbalancer.policy.PolicySettings;
import loadbalancer.proxy.RequestDispatcher;

/** Serves the application: accepts its connections, hands their requests to the dispatcher, and answers readiness. */
public final class ClientServer {
    private static final long TIMEOUT_CHECK_INTERVAL_MILLIS = 200;

    private final MemoryBudget memory;
    private final ReadAllowance readAllowance = new ReadAllowance();
    private final RequestDispatcher dispatcher;
    private final RequestValidator validator;
    private final ConnectionTable connections;
    private final ClientListener listener;
    private final GracefulShutdown shutdown;
    private boolean ready;

    /**
     * A server for one application, which does not listen yet.
     *
     * @param maxConnections connections from the application at once; beyond that, one is closed for each new one
     * @param memory what the connections may hold, together with all others that draw from it
     */
    public ClientServer(
            EventLoop loop,
            Clock clock,
            RequestDispatcher dispatcher,
            PolicySettings settings,
            int maxConnections,
            MemoryBudget memory) {
        this.memory = memory;
        this.dispatcher = dispatcher;
        this.validator = new RequestValidator(settings);
        this.connections = new ConnectionTable(clock, maxConnections);
        this.listener = new ClientListener(loop, clock, maxConnections, new Context());
        this.shutdown = new GracefulShutdown(loop, ShutdownSchedule.of(settings), dispatcher, connections, listener);
        // Behind a new select, so that a request which waits unread in a late turn counts as received.
        loop.scheduleAtFixedRate(
                () -> SelectBarrier.runAfterSelect(loop, connections::closeExpired),
                TIMEOUT_CHECK_INTERVAL_MILLIS,
                TIMEOUT_CHECK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Listens on this address only. */
    public ChannelFuture listen(SocketAddress address) {
        return listener.listen(address);
    }

    /** From now on {@code /health/ready} answers 200. */
    public void markReady() {
        ready = true;
    }

    /** True if {@code /health/ready} answers 200: it was marked ready, and no shutdown is in progress. */
    public boolean isReady() {
        return ready && !shutdown.isInProgress();
    }

    /** The number of open connections from the application. */
    public int connections() {
        return connections.size();
    }

    /**
     * Shuts down gracefully: existing requests are answered, and new ones on new connections for as long as clients may
     * send them. {@link ShutdownSchedule} has the times of the steps.
     *
     * @param whenFinished runs on the event loop once all is answered that can be
     */
    public void shutDown(Runnable whenFinished) {
        shutdown.begin(whenFinished);
    }

    /** The server as its connections see it. */
    private final class Context implements ServerContext {
        @Override
        public boolean isReady() {
            return ClientServer.this.isReady();
        }

        @Override
        public boolean isShuttingDown() {
            return shutdown.isClosingIdle();
        }

        @Override
        public boolean isPastShutdownDeadline() {
            return shutdown.isPastDeadline();
        }

        @Override
        public RequestValidator validator() {
            return validator;
        }

        @Override
        public MemoryBudget memory() {
            return memory;
        }

        @Override
        public ReadAllowance readAllowance() {
            return readAllowance;
        }

        @Override
        public void memoryRefused() {
            connections.evictSlowest();
        }

        @Override
        public RequestDispatcher dispatcher() {
            return dispatcher;
        }

        @Override
        public void connectionOpened(ClientConnection connection) {
            connections.add(connection);
        }

        @Override
        public void connectionClosed(ClientConnection connection) {
            connections.remove(connection);
            shutdown.finishIfDone();
        }
    }
}
