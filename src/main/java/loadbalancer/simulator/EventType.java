package loadbalancer.simulator;

import static java.util.Map.entry;

/** The events that a batch consists of. */
enum EventType {
    STARTED,
    CRASHED,
    ENDPOINT_LIST,
    ENDPOINTS_CHANGED,
    REQUEST_ARRIVED,
    ATTEMPT_ENDED,
    RESPONSE_STREAMING,
    CLIENT_DISCONNECTED,
    PROBE_ENDED,
    MESSAGE_RECEIVED,
    WAKE;

    /** Their names on the wire. */
    static final WireWords<EventType> WORDS = WireWords.of(
            entry("answer", ATTEMPT_ENDED),
            entry("order", REQUEST_ARRIVED),
            entry("deadline_hit", WAKE),
            entry("cancelled_by_client", CLIENT_DISCONNECTED),
            entry("probed", PROBE_ENDED),
            entry("flowing", RESPONSE_STREAMING),
            entry("memo", MESSAGE_RECEIVED),
            entry("catalog", ENDPOINT_LIST),
            entry("membership", ENDPOINTS_CHANGED),
            entry("up", STARTED),
            entry("crash_now", CRASHED));
}
