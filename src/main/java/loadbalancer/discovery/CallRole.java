package loadbalancer.discovery;

/** What a call to the discovery service is for. Whatever a call receives is read, up to the moment it is closed. */
enum CallRole {
    /** Waits for its first list at the present address. */
    WAITING,
    /** The open watch. */
    WATCH,
    /** Waited when another call was answered, or was one too many; the service may still answer it. */
    SUPERSEDED,
    /** Is at an address that discovery has moved away from, or about to be closed: only the drains it brings count. */
    ABANDONED
}
