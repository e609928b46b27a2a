package loadbalancer.policy;

/** The status of an endpoint in an endpoint list. */
public enum EndpointStatus {
    /** It takes requests. */
    READY,
    /** It finishes what it has and takes no new requests. */
    DRAINING,
    /** It is no longer part of the fleet. */
    REMOVED
}
