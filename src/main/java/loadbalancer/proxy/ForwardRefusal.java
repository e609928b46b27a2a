package loadbalancer.proxy;

/** Why an attempt must not be sent. */
enum ForwardRefusal {
    /** The client has had its response, or has disconnected. */
    REQUEST_COMPLETED,
    /** No time is left. */
    DEADLINE_PASSED,
    /** The request has had all the attempts that the settings allow. */
    TOO_MANY_ATTEMPTS,
    /** An attempt before may have been executed, or may yet be, and the request must not run twice. */
    UNSAFE_REPEAT,
    /** The endpoint drains, is gone, or is another process by now. */
    ENDPOINT_RETIRED,
    /** Its first byte has been written before. */
    ALREADY_SENT
}
