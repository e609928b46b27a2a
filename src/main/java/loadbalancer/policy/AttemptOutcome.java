package loadbalancer.policy;

/** How an attempt, or a probe, ended. */
public enum AttemptOutcome {
    /** A complete response with status 200. */
    SUCCESS(false),
    /** A complete response that reports an error, or whose body may be cut off: no sign of overload. */
    ERROR(false),
    /** The endpoint rejected the request before it started any work. */
    REJECTED(true),
    /** No response in time. */
    TIMED_OUT(false),
    /** The connection failed before the request was completely written. */
    CONNECT_FAILED(true),
    /** The connection failed, or the response was malformed, after the request was written. */
    RESET(false),
    /** The attempt was cancelled by the policy. */
    CANCELLED(false),
    /** Nothing was written to any connection. */
    NOT_SENT(true);

    private final boolean provesNotExecuted;

    AttemptOutcome(boolean provesNotExecuted) {
        this.provesNotExecuted = provesNotExecuted;
    }

    /** True if this outcome proves that the request was not executed by this attempt. */
    public boolean provesNotExecuted() {
        return provesNotExecuted;
    }
}
