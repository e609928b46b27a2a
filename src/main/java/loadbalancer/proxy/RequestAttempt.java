package loadbalancer.proxy;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.util.concurrent.Future;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.LoadReport;
import loadbalancer.upstream.EndpointAttempt;
import loadbalancer.upstream.UpstreamResponse;

/** One attempt of a request at one endpoint, with its timeout; its outcome is reported to the policy exactly once. */
final class RequestAttempt implements EndpointAttempt.Listener {
    private final ProxyContext context;
    private final PendingRequest pending;
    private final int index;
    private final double sentAt;
    private double endAt;
    private EndpointAttempt endpointAttempt;
    private Future<?> timeout;
    private boolean sent;
    /** Null while the attempt is in flight. */
    private AttemptOutcome outcome;

    /**
     * Creates an attempt that has not been sent yet.
     *
     * @param index its number among the attempts of its request, from 0
     * @param sentAt milliseconds on the context's clock
     */
    RequestAttempt(ProxyContext context, PendingRequest pending, int index, double sentAt) {
        this.context = context;
        this.pending = pending;
        this.index = index;
        this.sentAt = sentAt;
    }

    /** Sends the request to an endpoint, and gives it that many milliseconds from {@link #sentAt}. */
    void send(String endpoint, double timeoutMillis) {
        endAt = sentAt + timeoutMillis;
        timeout = context.timers().schedule(timeoutMillis, this::timeOut);
        endpointAttempt = context.pool().send(endpoint, this);
    }

    /** Returns the time at which it was sent, in milliseconds on the context's clock. */
    double sentAt() {
        return sentAt;
    }

    /** Returns true once its first byte was about to be written. */
    boolean sent() {
        return sent;
    }

    /** Returns true once it has an outcome. */
    boolean ended() {
        return outcome != null;
    }

    /** Returns true once it has ended in a way that proves that the endpoint did not execute the request. */
    boolean provedNotExecuted() {
        return outcome != null && outcome.provesNotExecuted();
    }

    /** Returns true once it has ended without telling whether the endpoint executes the request, then or later. */
    boolean mayStillRun() {
        return sent
                && (outcome == AttemptOutcome.CANCELLED
                        || outcome == AttemptOutcome.TIMED_OUT
                        || outcome == AttemptOutcome.RESET);
    }

    /** Ends it because the policy wants it so, unless it has ended. */
    void cancel() {
        abort(AttemptOutcome.CANCELLED);
    }

    /** Ends it without anything sent, unless it has ended. */
    void endNotSent() {
        attemptEnded(AttemptOutcome.NOT_SENT, null, null);
    }

    /** Ends it if the request has not been completely written; an attempt whose request has goes on. */
    void dropUnwritten() {
        if (outcome == null && endpointAttempt != null && !endpointAttempt.requestWritten()) {
            endpointAttempt.abort();
            endNotSent();
        }
    }

    private void timeOut() {
        abort(AttemptOutcome.TIMED_OUT);
    }

    // A request that was not completely written was not executed, whatever the reason to abort it.
    private void abort(AttemptOutcome reason) {
        if (outcome == null && endpointAttempt != null) {
            attemptEnded(endpointAttempt.abort() ? reason : AttemptOutcome.CONNECT_FAILED, null, null);
        }
    }

    /** Returns what to send, with the time left now: its connection may have been established late. */
    @Override
    public FullHttpRequest request(boolean endpointUsable) {
        double now = context.clock().now();
        if (context.guard().refusalToSend(pending, this, endpointUsable, endAt, now) != null) {
            return null;
        }
        sent = true;
        return pending.forwardedRequest().toHttpRequest(endAt - now);
    }

    /** Ends the attempt, unless it has ended: the one place where an attempt gets its outcome. */
    @Override
    public void attemptEnded(AttemptOutcome how, UpstreamResponse response, LoadReport report) {
        if (outcome != null) {
            return;
        }
        outcome = how;
        if (timeout != null) {
            timeout.cancel(false);
        }
        // The client gets its response inside the event: its next request may arrive at once, and the policy has to
        // be notified of this outcome before, or it would count the endpoint as busy still.
        context.events().enqueuePolicyEvent(() -> reportOutcome(response, report));
    }

    private void reportOutcome(UpstreamResponse response, LoadReport report) {
        double now = context.clock().now();
        if (outcome == AttemptOutcome.SUCCESS) {
            pending.succeed(response);
        }
        boolean finished = pending.completed();
        pending.removeIfSettled();
        context.policy().attemptEnded(now, pending.policyRequest(), index, outcome, now - sentAt, finished, report);
    }
}
