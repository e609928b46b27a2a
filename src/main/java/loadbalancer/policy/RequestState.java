package loadbalancer.policy;

import java.util.Arrays;

/** A request and its attempts. */
final class RequestState {
    private static final int TYPICAL_MAX_ATTEMPTS = 2;

    private final PolicyRequest request;
    private final RequestClass requestClass;
    private final int priorityLevel;
    private final double objectiveAtMillis;
    private final double deadlineAtMillis;
    private AttemptState[] attempts = new AttemptState[TYPICAL_MAX_ATTEMPTS];
    private int attemptCount;
    private boolean completed;
    private AttemptState possiblyExecuted;

    RequestState(PolicyRequest request, RequestClass requestClass, int priorityLevel, double nowMillis) {
        this.request = request;
        this.requestClass = requestClass;
        this.priorityLevel = priorityLevel;
        this.objectiveAtMillis = nowMillis + requestClass.latencyObjectiveMillis();
        this.deadlineAtMillis = nowMillis + request.timeoutMillis();
    }

    PolicyRequest request() {
        return request;
    }

    RequestClass requestClass() {
        return requestClass;
    }

    int classIndex() {
        return request.classIndex();
    }

    int priorityLevel() {
        return priorityLevel;
    }

    /** The time at which the client gives up. */
    double deadlineAtMillis() {
        return deadlineAtMillis;
    }

    AttemptState addAttempt(EndpointState endpoint, double nowMillis) {
        if (attemptCount == attempts.length) {
            attempts = Arrays.copyOf(attempts, attemptCount * 2);
        }
        AttemptState attempt = new AttemptState(this, endpoint, nowMillis);
        attempts[attemptCount++] = attempt;
        return attempt;
    }

    int attemptCount() {
        return attemptCount;
    }

    /** The attempt with this number, or null if it is not in flight. */
    AttemptState attemptInFlight(int number) {
        boolean known = number >= 0 && number < attemptCount;
        return known && attempts[number].inFlight() ? attempts[number] : null;
    }

    /** True if an attempt went to this endpoint. */
    boolean tried(EndpointState endpoint) {
        for (int i = 0; i < attemptCount; i++) {
            if (attempts[i].endpoint() == endpoint) {
                return true;
            }
        }
        return false;
    }

    /** True once the policy owes nothing more for the request. */
    boolean completed() {
        return completed;
    }

    void markCompleted() {
        completed = true;
    }

    /** The first attempt that may have been executed; null while every one is known not to have been. */
    AttemptState possiblyExecuted() {
        return possiblyExecuted;
    }

    void markPossiblyExecuted(AttemptState attempt) {
        if (possiblyExecuted == null) {
            possiblyExecuted = attempt;
        }
    }

    /** True if an attempt may have been executed, and only endpoints of one scope would discard a repeat. */
    boolean boundToDeduplicationScope() {
        return possiblyExecuted != null && RetryRules.boundToScope(requestClass);
    }

    /** True if a further attempt at this endpoint does no harm, whatever the earlier ones did. */
    boolean mayRepeatAt(EndpointState endpoint, double nowMillis) {
        return possiblyExecuted == null
                || RetryRules.mayRepeat(requestClass, possiblyExecuted.sentAtMillis(), nowMillis)
                        && RetryRules.shareDeduplication(
                                requestClass, possiblyExecuted.endpoint().entry(), endpoint.entry());
    }

    /** True if a retry by the client does no harm: nothing was executed, or it may be repeated. */
    boolean clientMayRetry() {
        return possiblyExecuted == null || RetryRules.clientMayRetry(requestClass);
    }

    /** True if a further attempt, begun now, can still be of use and do no harm. */
    boolean retryUseful(double nowMillis) {
        double usefulUntilMillis =
                requestClass.lateWeight() > 0 ? deadlineAtMillis : Math.min(objectiveAtMillis, deadlineAtMillis);
        return nowMillis < usefulUntilMillis && (possiblyExecuted == null || RetryRules.mayEverRepeat(requestClass));
    }

    /**
     * How long an attempt that begins now may take, in milliseconds; 0 means up to the deadline. It ends at the latency
     * objective if a late response has no value and the client must not repeat the request.
     */
    double attemptTimeoutMillis(double nowMillis) {
        boolean endsAtObjective = requestClass.lateWeight() <= 0 && !RetryRules.clientMayRetry(requestClass);
        return endsAtObjective && objectiveAtMillis < deadlineAtMillis ? Math.max(1, objectiveAtMillis - nowMillis) : 0;
    }
}
