package loadbalancer.upstream;

/** Decides for connections whether they may carry another request. */
interface ConnectionReuse {
    /** True if a connection may carry a second request. */
    boolean reuseAllowed();

    /** Stops all reuse for a while: an endpoint has sent bytes that no request called for. */
    void suspendReuse();

    /** Keeps a connection out of use for a while after a response, and has it released then. */
    void quarantine(EndpointConnection connection);
}
