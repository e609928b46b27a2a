package loadbalancer.policy;

/** Request classes that several tests use; each has an objective of 500 ms and a deadline of 2000 ms. */
final class RequestClasses {
    static final RequestClass HIGH_PRIORITY = requestClass("high", 6, Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
    static final RequestClass LOW_PRIORITY = requestClass("low", 2, Idempotency.IDEMPOTENT, DeduplicationScope.ALL);
    static final RequestClass NOT_IDEMPOTENT =
            requestClass("not-idempotent", 2, Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL);
    static final RequestClass KEYED_IN_ZONE =
            requestClass("keyed-in-zone", 2, Idempotency.WITH_KEY, DeduplicationScope.ZONE);
    static final RequestClass KEYED_IN_CELL =
            requestClass("keyed-in-cell", 2, Idempotency.WITH_KEY, DeduplicationScope.CELL);

    private RequestClasses() {}

    static RequestClass requestClass(
            String name, double priorityWeight, Idempotency idempotency, DeduplicationScope scope) {
        return new RequestClass(name, priorityWeight, 0, 500, 2000, idempotency, scope, 5000, false);
    }

    /** An idempotent class with these times. */
    static RequestClass slowClass(double latencyObjectiveMillis, double deadlineMillis) {
        return new RequestClass(
                "slow",
                1,
                0,
                latencyObjectiveMillis,
                deadlineMillis,
                Idempotency.IDEMPOTENT,
                DeduplicationScope.ALL,
                0,
                false);
    }
}
