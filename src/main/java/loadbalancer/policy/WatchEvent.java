package loadbalancer.policy;

/** What an event on the endpoint list watch brings. */
public enum WatchEvent {
    /** Only the entries that changed. */
    DELTA,
    /** Every endpoint; one that is missing has been removed. */
    SNAPSHOT,
    /** Every endpoint as last known at start, perhaps long out of date. */
    STALE_SNAPSHOT,
    /** Only endpoints that drain or are gone, by a list that is not used otherwise. */
    RETIREMENTS,
    /** No entries: a call failed or the watch broke. The last known list stays in use. */
    FAILED,
    /** No entries: the service rejected a call, perhaps since it is overloaded. The last known list stays in use. */
    REJECTED,
    /** No entries: nothing arrived on the watch for too long, by each sidecar's own randomized timeout. */
    IDLE_TIMEOUT,
    /** No entries: discovery has a new address from now on, for all sidecars at once. */
    MOVED
}
