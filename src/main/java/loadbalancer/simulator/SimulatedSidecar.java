package loadbalancer.simulator;

import java.util.List;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.BalancingPolicy;
import loadbalancer.policy.Endpoint;
import loadbalancer.policy.LoadReport;
import loadbalancer.policy.LossThrottlingPolicy;
import loadbalancer.policy.PolicyRequest;
import loadbalancer.policy.PolicySettings;
import loadbalancer.policy.RequestClass;
import loadbalancer.policy.Tenant;
import loadbalancer.policy.WatchEvent;

/**
 * One instance of the simulation: its policy and its open requests. Each event is passed to the policy at the batch's
 * time in milliseconds; what the policy throws is reported on the wire.
 */
final class SimulatedSidecar {
    private final WireWords<Integer> classIndices;
    private final WireWords<Integer> tenantIndices;
    private final OpenRequests openRequests = new OpenRequests();
    private final WireActions actions;
    private final BalancingPolicy policy;

    SimulatedSidecar(int number, PolicySettings settings, long seed, WireWriter out) {
        this.classIndices = WireWords.indices(
                settings.classes().stream().map(RequestClass::name).toList());
        this.tenantIndices =
                WireWords.indices(settings.tenants().stream().map(Tenant::name).toList());
        this.actions = new WireActions(number, openRequests, out);
        this.policy = new LossThrottlingPolicy(settings, seed, actions);
    }

    /** Returns the indices of the request classes by name. */
    WireWords<Integer> classIndices() {
        return classIndices;
    }

    /** Returns the indices of the tenants by name. */
    WireWords<Integer> tenantIndices() {
        return tenantIndices;
    }

    /** Returns true if a request of this id arrived and is not settled. */
    boolean isOpen(long id) {
        return openRequests.get(id) != null;
    }

    void start(double now) {
        notifyPolicy(() -> policy.start(now));
    }

    void endpointsChanged(double now, WatchEvent event, List<Endpoint> endpoints) {
        if (event == WatchEvent.SNAPSHOT || event == WatchEvent.DELTA) {
            policy.discoveryCalls().currency().answered(now);
        }
        notifyPolicy(() -> policy.endpointsChanged(now, event, endpoints));
    }

    void requestArrived(double now, PolicyRequest request) {
        openRequests.add(request);
        notifyPolicy(() -> policy.requestArrived(now, request));
    }

    /** An attempt ended; the outcome is ignored if the request was settled before. */
    void attemptEnded(
            double now,
            long id,
            int attempt,
            AttemptOutcome outcome,
            double durationMillis,
            boolean finished,
            LoadReport report) {
        OpenRequests.OpenRequest open = openRequests.get(id);
        if (open == null) {
            return;
        }
        open.attemptEnded();
        if (finished) {
            open.complete();
        }
        notifyPolicy(
                () -> policy.attemptEnded(now, open.request(), attempt, outcome, durationMillis, finished, report));
        openRequests.removeIfSettled(open);
    }

    /** A response began to stream, unless the request was settled before. */
    void responseStreaming(double now, long id, int attempt) {
        OpenRequests.OpenRequest open = openRequests.get(id);
        if (open != null) {
            notifyPolicy(() -> policy.responseStreaming(now, open.request(), attempt));
        }
    }

    /** The client disconnected, unless the request was settled before. */
    void clientDisconnected(double now, long id) {
        OpenRequests.OpenRequest open = openRequests.get(id);
        if (open != null) {
            open.complete();
            notifyPolicy(() -> policy.clientDisconnected(now, open.request()));
            openRequests.removeIfSettled(open);
        }
    }

    void probeEnded(double now, String endpoint, AttemptOutcome outcome, double durationMillis, LoadReport report) {
        notifyPolicy(() -> policy.probeEnded(now, endpoint, outcome, durationMillis, report));
    }

    void messageReceived(double now, int from, byte[] message) {
        notifyPolicy(() -> policy.messageReceived(now, from, message));
    }

    void wake(double now) {
        notifyPolicy(() -> policy.wake(now));
    }

    private void notifyPolicy(Runnable event) {
        try {
            event.run();
        } catch (RuntimeException | StackOverflowError e) {
            actions.reportFailure(e);
        }
    }
}
