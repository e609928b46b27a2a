package loadbalancer.discovery;

/** How a call to the discovery service ended. */
enum CallEnd {
    NOT_CONNECTED("no connection"),
    NOT_ANSWERED("no answer"),
    INCOMPLETE("an incomplete list and then silence"),
    SILENT("silence on the watch"),
    REJECTED("a rejection"),
    CLOSED("the end of the connection"),
    OUTDATED("a list older than the one in use"),
    MALFORMED("a malformed list");

    private final String description;

    CallEnd(String description) {
        this.description = description;
    }

    /** What an on-call engineer reads in the log. */
    String description() {
        return description;
    }
}
