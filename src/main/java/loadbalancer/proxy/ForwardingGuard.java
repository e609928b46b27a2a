package loadbalancer.proxy;

import java.util.List;
import loadbalancer.policy.PolicyLimits;
import loadbalancer.policy.RequestClass;
import loadbalancer.policy.RetryRules;

/**
 * The one place that decides whether an attempt may be begun or sent, and whether a request may be rejected. It is
 * asked when the policy wants an attempt, and again right before the first byte is written.
 *
 * <p>What may happen between a decision of the policy and this check, such as a client that disconnects, is a refusal
 * and is counted. What the policy must never ask for is a violation of the operators' rules by the policy: it is
 * refused as well, counted and logged.
 */
final class ForwardingGuard {
    /** The process may have been paused for so long since the policy decided. */
    private static final double MAX_PAUSE_MILLIS = 150;

    private final PolicyLimits limits;
    private final List<RequestClass> classes;
    private final RuleViolations violations;
    private final RefusalCounts refusals = new RefusalCounts();

    ForwardingGuard(PolicyLimits limits, List<RequestClass> classes, RuleViolations violations) {
        this.limits = limits;
        this.classes = classes;
        this.violations = violations;
    }

    /** Returns how many attempts were refused, by reason. */
    RefusalCounts refusals() {
        return refusals;
    }

    /** Returns why the attempt that was added last must not begin, or null if it may. */
    ForwardRefusal refusalToBegin(PendingRequest request, RequestAttempt attempt, double nowMillis) {
        if (request.attempts().size() > limits.maxAttempts()) {
            violations.record(RuleViolations.Kind.TOO_MANY_ATTEMPTS, request.clientId());
            return refusals.count(ForwardRefusal.TOO_MANY_ATTEMPTS);
        }
        if (!request.completed() && !mayRepeat(request, attempt, nowMillis - MAX_PAUSE_MILLIS)) {
            violations.record(RuleViolations.Kind.UNSAFE_REPEAT, request.clientId());
        }
        return refusalToSend(request, attempt, true, request.endAtMillis(), nowMillis);
    }

    /**
     * Returns why the first byte of an attempt must not be written now, or null if it may.
     *
     * @param endpointUsable false if the list in force no longer names the endpoint that was chosen as ready
     * @param endAtMillis when the attempt's time is over
     */
    ForwardRefusal refusalToSend(
            PendingRequest request,
            RequestAttempt attempt,
            boolean endpointUsable,
            double endAtMillis,
            double nowMillis) {
        if (attempt.sent()) {
            violations.record(RuleViolations.Kind.SENT_TWICE, request.clientId());
            return refusals.count(ForwardRefusal.ALREADY_SENT);
        }
        if (request.completed()) {
            return refusals.count(ForwardRefusal.REQUEST_COMPLETED);
        }
        if (!endpointUsable) {
            return refusals.count(ForwardRefusal.ENDPOINT_RETIRED);
        }
        if (nowMillis >= endAtMillis) {
            return refusals.count(ForwardRefusal.DEADLINE_PASSED);
        }
        return mayRepeat(request, attempt, nowMillis) ? null : refusals.count(ForwardRefusal.UNSAFE_REPEAT);
    }

    /** Returns true if a retry of the request by its client can do no harm. */
    boolean mayReject(PendingRequest request) {
        if (RetryRules.clientMayRetry(requestClass(request))) {
            return true;
        }
        for (RequestAttempt attempt : request.attempts()) {
            if (!attempt.provedNotExecuted()) {
                violations.record(RuleViolations.Kind.UNSAFE_REJECTION, request.clientId());
                return false;
            }
        }
        return true;
    }

    private boolean mayRepeat(PendingRequest request, RequestAttempt next, double nowMillis) {
        RequestClass requestClass = requestClass(request);
        for (RequestAttempt other : request.attempts()) {
            boolean harmless = other == next
                    || other.provedNotExecuted()
                    || RetryRules.mayRepeat(requestClass, other.sentAt(), nowMillis);
            if (!harmless) {
                return false;
            }
        }
        return true;
    }

    private RequestClass requestClass(PendingRequest request) {
        return classes.get(request.policyRequest().classIndex());
    }
}
