package loadbalancer.policy;

/**
 * What a balancing policy can do; the embedder carries it out. Times are milliseconds, as in {@link BalancingPolicy}.
 */
public interface PolicyActions {
    /** Forwards the request to an endpoint as its next attempt; a timeout of 0 means at the request's deadline. */
    void forward(PolicyRequest request, String endpoint, double timeoutMillis);

    /** Cancels an attempt that is in flight. */
    void cancelAttempt(PolicyRequest request, int attempt);

    /** Final response: the request was not executed, or may be repeated; a retry after this time does no harm. */
    void reject(PolicyRequest request, double retryAfterMillis);

    /** Final response: failed, with no promise about effects. */
    void fail(PolicyRequest request);

    /** Asks an endpoint for its load report. */
    void probe(String endpoint);

    /** Opens the watch on the endpoint list. */
    void watchEndpoints();

    /** Sends a message to every other sidecar. */
    void broadcast(byte[] message);

    /** Schedules a call of {@link BalancingPolicy#wake} at this time, in milliseconds on the embedder's clock. */
    void scheduleWake(double at);

    /** Writes a line for the on-call engineer. */
    void log(String line);
}
