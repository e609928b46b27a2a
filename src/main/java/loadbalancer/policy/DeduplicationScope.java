package loadbalancer.policy;

/** Which endpoints discard repeats of a request with an idempotency key. */
public enum DeduplicationScope {
    /** All of them. */
    ALL,
    /** Those in the zone of the first execution. */
    ZONE,
    /** Those in the cell of the first execution. */
    CELL
}
