package loadbalancer.policy;

/** How load reports reach the sidecar. */
public enum LoadReporting {
    /** There are none. */
    NONE,
    /** As a header of responses. */
    WITH_RESPONSES,
    /** In the response to a probe. */
    WITH_PROBES
}
