package loadbalancer.policy;

/**
 * A class of requests.
 *
 * @param priorityWeight value of a response within the latency objective
 * @param lateWeight share of that value, from 0 to 1, for a response between the objective and the deadline
 * @param latencyObjectiveMillis time within which a response counts fully
 * @param deadlineMillis time after which a client gives up if its request names none
 * @param deduplicationScope which endpoints discard repeats; only for {@link Idempotency#WITH_KEY}
 * @param deduplicationWindowMillis for how long after the first attempt they do
 * @param streaming true if responses are streamed to the client
 */
public record RequestClass(
        String name,
        double priorityWeight,
        double lateWeight,
        double latencyObjectiveMillis,
        double deadlineMillis,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        double deduplicationWindowMillis,
        boolean streaming) {}
