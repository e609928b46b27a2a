package loadbalancer.proxy;

import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.memory.MemoryHolding;
import loadbalancer.policy.Idempotency;
import loadbalancer.policy.PolicyRequest;
import loadbalancer.policy.RequestClass;
import loadbalancer.upstream.UpstreamResponse;

/**
 * An admitted request, from its admission to its one final response.
 *
 * <p>It owns its attempts and its deadline. It stays pending until it is completed and all its attempts have ended.
 */
public final class PendingRequest {
    private final ProxyContext context;
    private final PolicyRequest policyRequest;
    private final String clientId;
    private final ForwardedRequest forwardedRequest;
    private final MemoryHolding memory;
    private final ResponseListener client;
    private final double policyGraceMillis;
    private final List<RequestAttempt> attempts = new ArrayList<>(1);
    private double endAt;
    private Future<?> deadline;
    private boolean completed;
    /** True if the client left before it had its response. */
    private boolean clientLeft;

    /**
     * Creates a request that the policy does not know yet.
     *
     * @param policyGraceMillis how long after the request's timeout it is failed unless the policy has ended it
     */
    PendingRequest(
            ProxyContext context,
            PolicyRequest policyRequest,
            ClientRequest clientRequest,
            RequestBody body,
            ResponseListener client,
            double policyGraceMillis) {
        this.context = context;
        this.policyRequest = policyRequest;
        this.clientId = clientRequest.id();
        this.forwardedRequest = new ForwardedRequest(clientRequest, body.bytes());
        this.memory = body.memory();
        this.client = client;
        this.policyGraceMillis = policyGraceMillis;
    }

    /** Returns the request as the policy knows it. */
    PolicyRequest policyRequest() {
        return policyRequest;
    }

    /** Returns the identifier that the client gave it. */
    String clientId() {
        return clientId;
    }

    /** Returns what endpoints receive. */
    ForwardedRequest forwardedRequest() {
        return forwardedRequest;
    }

    /** Returns its attempts so far. */
    List<RequestAttempt> attempts() {
        return attempts;
    }

    /** Returns its deadline, in milliseconds on the context's clock. */
    double endAtMillis() {
        return endAt;
    }

    /** Returns true once the client has had its final response, or has disconnected. */
    boolean completed() {
        return completed;
    }

    /** Starts the deadline and hands the request to the policy; runs as an event of the policy. */
    void start() {
        double now = context.clock().now();
        double timeoutMillis = policyRequest.timeoutMillis();
        endAt = now + timeoutMillis;
        deadline = context.timers().schedule(timeoutMillis + policyGraceMillis, this::failUnanswered);
        context.policy().requestArrived(now, policyRequest);
    }

    /**
     * Makes the next attempt, which ends as not sent if the request may have no further one.
     *
     * @param timeoutMillis how long the attempt may take, or 0 if until the request's deadline
     */
    void forward(String endpoint, double timeoutMillis) {
        double now = context.clock().now();
        RequestAttempt attempt = new RequestAttempt(context, this, attempts.size(), now);
        attempts.add(attempt);
        if (context.guard().refusalToBegin(this, attempt, now) != null) {
            attempt.endNotSent();
            return;
        }
        double remainingMillis = endAt - now;
        attempt.send(endpoint, timeoutMillis > 0 ? Math.min(timeoutMillis, remainingMillis) : remainingMillis);
    }

    /** Cancels the attempt with this number; does nothing if there is none. */
    void cancelAttempt(int index) {
        if (index >= 0 && index < attempts.size()) {
            attempts.get(index).cancel();
        }
    }

    /** Ends the request with an endpoint's response, unless it is completed. */
    void succeed(UpstreamResponse response) {
        if (complete()) {
            client.succeeded(response);
        }
    }

    /**
     * Rejects the request, unless it is completed; fails it if a retry by the client might do harm.
     *
     * @param retryAfterMillis when the client may retry, or 0 if at any time
     */
    void reject(double retryAfterMillis) {
        if (!complete()) {
            return;
        }
        if (context.guard().mayReject(this)) {
            client.rejected(retryAfterMillis);
        } else {
            client.failed();
        }
    }

    /** Fails the request, unless it is completed. */
    void fail() {
        if (complete()) {
            client.failed();
        }
    }

    /** Fails a request that the policy has not ended, because of a fault or because the process is to be killed. */
    void failUnanswered() {
        if (complete()) {
            client.failed();
            context.events().enqueuePolicyEvent(this::notifyClientDisconnected);
        }
    }

    /** Ends the request without a response, unless it is completed: its client has disconnected. */
    public void clientDisconnected() {
        if (complete()) {
            clientLeft = true;
            context.events().enqueuePolicyEvent(this::notifyClientDisconnected);
        }
    }

    /** Ends being pending once the request is completed and no attempt is in flight. */
    void removeIfSettled() {
        if (completed && allAttemptsEnded()) {
            context.pendingRequests().remove(this);
            if (mustNotRunAgain()) {
                context.recentIds().add(clientId, context.clock().now());
            }
        }
    }

    // The one place where a request becomes completed; false if it was before.
    private boolean complete() {
        if (completed) {
            return false;
        }
        completed = true;
        deadline.cancel(false);
        // Nobody waits for what would be written from now on. This is not the cancellation that the settings may
        // rule out: no such attempt has been completely written to its endpoint.
        for (RequestAttempt attempt : attempts) {
            attempt.dropUnwritten();
        }
        removeIfSettled();
        return true;
    }

    private void notifyClientDisconnected() {
        context.policy().clientDisconnected(context.clock().now(), policyRequest);
    }

    private boolean mustNotRunAgain() {
        RequestClass requestClass = context.settings().classes().get(policyRequest.classIndex());
        if (requestClass.idempotency() == Idempotency.IDEMPOTENT) {
            return false;
        }
        for (RequestAttempt attempt : attempts) {
            if (attempt.mayStillRun() || clientLeft && attempt.sent() && !attempt.provedNotExecuted()) {
                return true;
            }
        }
        return false;
    }

    /** Gives back the memory that it took while it was pending. */
    void releaseMemory() {
        memory.release();
    }

    private boolean allAttemptsEnded() {
        for (RequestAttempt attempt : attempts) {
            if (!attempt.ended()) {
                return false;
            }
        }
        return true;
    }
}
