package loadbalancer.policy;

/**
 * What the idempotency of a request's class allows once an attempt may have been executed.
 *
 * <p>The policy follows them, and {@code proxy} checks them again before the first byte of each attempt.
 */
public final class RetryRules {
    private RetryRules() {}

    /** True if a retry by the client does no harm, whichever endpoint gets it. */
    public static boolean clientMayRetry(RequestClass requestClass) {
        return switch (requestClass.idempotency()) {
            case IDEMPOTENT -> true;
            case WITH_KEY -> requestClass.deduplicationScope() == DeduplicationScope.ALL;
            case NOT_IDEMPOTENT -> false;
        };
    }

    /**
     * True if a request may be sent again now, though an attempt that was sent at that time may have been executed.
     *
     * @param attemptSentAt time in milliseconds on the clock of {@code now}
     */
    public static boolean mayRepeat(RequestClass requestClass, double attemptSentAt, double now) {
        return switch (requestClass.idempotency()) {
            case IDEMPOTENT -> true;
            case WITH_KEY -> now < attemptSentAt + requestClass.deduplicationWindowMillis();
            case NOT_IDEMPOTENT -> false;
        };
    }

    /** True if there is a time at which a request that may have been executed may be sent again. */
    static boolean mayEverRepeat(RequestClass requestClass) {
        return requestClass.idempotency() != Idempotency.NOT_IDEMPOTENT;
    }

    /** True if only some endpoints, those of one scope, discard a repeat. */
    static boolean boundToScope(RequestClass requestClass) {
        return requestClass.idempotency() == Idempotency.WITH_KEY
                && requestClass.deduplicationScope() != DeduplicationScope.ALL;
    }

    /** True if the second endpoint discards a repeat of what the first one may have executed, or it does no harm. */
    public static boolean shareDeduplication(RequestClass requestClass, Endpoint first, Endpoint second) {
        if (requestClass.idempotency() != Idempotency.WITH_KEY) {
            return requestClass.idempotency() == Idempotency.IDEMPOTENT;
        }
        return switch (requestClass.deduplicationScope()) {
            case ALL -> true;
            case ZONE -> first.zone().equals(second.zone());
            case CELL -> first.cell() == second.cell();
        };
    }
}
