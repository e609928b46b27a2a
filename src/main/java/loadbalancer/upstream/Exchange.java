package loadbalancer.upstream;

/** One request and its response on a connection, from the first byte written until the attempt has ended. */
final class Exchange {
    private final EndpointAttempt attempt;
    private final double idleMillisBefore;
    private double lastReadMillis;
    private boolean bytesReceived;
    private boolean responseComplete;

    /**
     * An exchange for which nothing has been written.
     *
     * @param idleMillisBefore how long the connection was idle before, 0 if it is a new one
     */
    Exchange(EndpointAttempt attempt, double idleMillisBefore) {
        this.attempt = attempt;
        this.idleMillisBefore = idleMillisBefore;
    }

    EndpointAttempt attempt() {
        return attempt;
    }

    /** How long the connection was idle before this exchange, in milliseconds. */
    double idleMillisBefore() {
        return idleMillisBefore;
    }

    /** Records that bytes came from the endpoint. */
    void recordRead(double nowMillis) {
        lastReadMillis = nowMillis;
        bytesReceived = true;
    }

    /** When bytes last came, by the clock; 0 if none have come. */
    double lastReadMillis() {
        return lastReadMillis;
    }

    /** True once the endpoint has sent anything. */
    boolean bytesReceived() {
        return bytesReceived;
    }

    /** Records that the response is complete. */
    void markResponseComplete() {
        responseComplete = true;
    }

    boolean responseComplete() {
        return responseComplete;
    }
}
