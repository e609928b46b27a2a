package loadbalancer.policy;

/** What an event on the endpoint list watch brings. */
public enum WatchEvent {
    /** Only the entries that changed. */
    DELTA(Entries.CHANGED),
    /** Every endpoint; one that is missing has been removed. */
    SNAPSHOT(Entries.ALL),
    /** Every endpoint as last known at start, perhaps long out of date. */
    STALE_SNAPSHOT(Entries.ALL),
    /** Only endpoints that drain or are gone, by a list that is not used otherwise. */
    RETIREMENTS(Entries.CHANGED),
    /** A call failed or the watch broke. The last known list stays in use. */
    FAILED(Entries.NONE),
    /** The service rejected a call, perhaps since it is overloaded. The last known list stays in use. */
    REJECTED(Entries.NONE),
    /** Nothing arrived on the watch for too long, by each sidecar's own randomized timeout. */
    IDLE_TIMEOUT(Entries.NONE),
    /** Discovery has a new address from now on, for all sidecars at once. */
    MOVED(Entries.NONE);

    private enum Entries {
        ALL,
        CHANGED,
        NONE
    }

    private final Entries entries;

    WatchEvent(Entries entries) {
        this.entries = entries;
    }

    /** Returns true if it brings a list or changes to it, even if they are empty. */
    boolean bringsList() {
        return entries != Entries.NONE;
    }

    /** Returns true if an endpoint that its list leaves out has been removed. */
    boolean complete() {
        return entries == Entries.ALL;
    }
}
