package loadbalancer.downstream;

import loadbalancer.memory.MemoryBudget;
import loadbalancer.proxy.RequestDispatcher;

/** What a client connection needs of the server that accepted it. */
interface ServerContext {
    /** True if {@code /health/ready} is to be answered 200. */
    boolean isReady();

    /** True once idle connections are closed and every response closes its own. */
    boolean isShuttingDown();

    /** True once pending requests have been failed, and none can be served before the process is killed. */
    boolean isPastShutdownDeadline();

    /** Validates the heads of requests. */
    RequestValidator validator();

    /** The memory that all connections draw from. */
    MemoryBudget memory();

    /** What the connections may read in a turn of the loop. */
    ReadAllowance readAllowance();

    /** Reports a request that was refused for want of memory. */
    void memoryRefused();

    /** Takes valid requests. */
    RequestDispatcher dispatcher();

    /** Reports a connection that was accepted and has become active. */
    void connectionOpened(ClientConnection connection);

    /** Reports a connection that was closed; it may be reported twice. */
    void connectionClosed(ClientConnection connection);
}
