package loadbalancer.policy;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks what a request may be sent to again, and when it may be rejected, at each action of a policy.
 *
 * <p>Written apart from {@link RetryRules}. The endpoint sN is taken to be in the zone N modulo {@link #ZONES}, and the
 * scope of every class with a key to be the zone.
 */
final class RepeatRuleCheck {
    static final int ZONES = 3;

    /** An attempt and how it ended; null while it is in flight. */
    private static final class CheckedAttempt {
        private final ForwardedAttempt attempt;
        private AttemptOutcome outcome;

        CheckedAttempt(ForwardedAttempt attempt) {
            this.attempt = attempt;
        }

        private int zone() {
            return zoneOf(attempt.endpoint());
        }

        private boolean mayHaveRun() {
            return outcome == null || !outcome.provesNotExecuted();
        }
    }

    private final PolicySettings settings;
    private final Map<Long, List<CheckedAttempt>> attempts = new LinkedHashMap<>();

    RepeatRuleCheck(PolicySettings settings) {
        this.settings = settings;
    }

    void forwarded(ForwardedAttempt next) {
        if (!settings.limits().hedging() && inFlight(next.request()) > 0) {
            throw new AssertionError("two attempts at once: " + next.request().id());
        }
        RequestClass requestClass = classOf(next.request());
        for (CheckedAttempt earlier : attemptsOf(next.request())) {
            if (requestClass.idempotency() != Idempotency.IDEMPOTENT && earlier.mayHaveRun()) {
                checkRepeat(requestClass, earlier, next);
            }
        }
        attemptsOf(next.request()).add(new CheckedAttempt(next));
    }

    private static void checkRepeat(RequestClass requestClass, CheckedAttempt earlier, ForwardedAttempt next) {
        long id = next.request().id();
        if (requestClass.idempotency() == Idempotency.NOT_IDEMPOTENT) {
            throw new AssertionError("may have run, sent again: " + id);
        }
        if (zoneOf(next.endpoint()) != earlier.zone()) {
            throw new AssertionError("keyed request left its zone: " + id);
        }
        if (next.sentAt() > earlier.attempt.sentAt() + requestClass.deduplicationWindowMillis()) {
            throw new AssertionError("keyed request after its window: " + id);
        }
    }

    void rejected(PolicyRequest request) {
        boolean idempotent = classOf(request).idempotency() == Idempotency.IDEMPOTENT;
        if (!idempotent && attemptsOf(request).stream().anyMatch(CheckedAttempt::mayHaveRun)) {
            throw new AssertionError("may have run, rejected: " + request.id());
        }
    }

    void attemptEnded(ForwardedAttempt attempt, AttemptOutcome outcome) {
        attemptsOf(attempt.request()).get(attempt.number()).outcome = outcome;
    }

    int inFlight(PolicyRequest request) {
        return (int) attemptsOf(request).stream()
                .filter(attempt -> attempt.outcome == null)
                .count();
    }

    private List<CheckedAttempt> attemptsOf(PolicyRequest request) {
        return attempts.computeIfAbsent(request.id(), id -> new ArrayList<>());
    }

    private RequestClass classOf(PolicyRequest request) {
        return settings.classes().get(request.classIndex());
    }

    private static int zoneOf(String endpoint) {
        return Endpoints.number(endpoint) % ZONES;
    }
}
