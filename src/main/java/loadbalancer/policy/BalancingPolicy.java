package loadbalancer.policy;

import java.util.List;

/**
 * The events that a balancing policy is notified of, each with the time at which it happened.
 *
 * <p>Times are milliseconds on the embedder's own clock, which may start anywhere and never runs backwards. A policy
 * reads no clock, starts no thread and does no I/O: it acts only inside an event, through {@link PolicyActions}.
 */
public interface BalancingPolicy {
    /** The sidecar prepares to serve: the endpoint list may be requested from now on. Optional, before the start. */
    void prepare(double now);

    /** The sidecar starts to serve. */
    void start(double now);

    /** The endpoint list, changes to it, or the loss of the watch on it. */
    void endpointsChanged(double now, WatchEvent event, List<Endpoint> endpoints);

    /**
     * Returns the schedule of calls to discovery, which whoever makes them tells what it learns before it passes a list
     * on.
     */
    DiscoveryCallSchedule discoveryCalls();

    /** A client's request arrived; the policy has to see to one final response. */
    void requestArrived(double now, PolicyRequest request);

    /**
     * An attempt ended.
     *
     * @param attempt its number among the attempts of the request, from 0
     * @param durationMillis how long it was in flight
     * @param finished true if the client has had its final response; otherwise the policy still has to see to one
     * @param report the endpoint's load report, or null
     */
    void attemptEnded(
            double now,
            PolicyRequest request,
            int attempt,
            AttemptOutcome outcome,
            double durationMillis,
            boolean finished,
            LoadReport report);

    /** The response to an attempt began to stream to the client, and it is the final one. */
    void responseStreaming(double now, PolicyRequest request, int attempt);

    /** The client disconnected; no response is needed any more. */
    void clientDisconnected(double now, PolicyRequest request);

    /** A probe ended; {@code report} is null unless one came. */
    void probeEnded(double now, String endpoint, AttemptOutcome outcome, double durationMillis, LoadReport report);

    /** Another sidecar sent a message. */
    void messageReceived(double now, int from, byte[] message);

    /** A time scheduled with {@link PolicyActions#scheduleWake} has come. */
    void wake(double now);
}
