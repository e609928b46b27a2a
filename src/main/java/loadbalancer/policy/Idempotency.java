package loadbalancer.policy;

/** What executing a request of a class more than once may do. */
public enum Idempotency {
    /** Any number of executions has the effect of one. */
    IDEMPOTENT,
    /** The request carries an idempotency key, by which endpoints of one scope discard a repeat for a while. */
    WITH_KEY,
    /** A second execution does damage. */
    NOT_IDEMPOTENT
}
