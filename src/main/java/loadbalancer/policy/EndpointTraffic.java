package loadbalancer.policy;

/** The rate at which this sidecar forwards to one endpoint, and the work that the endpoint answers. */
final class EndpointTraffic {
    /** Weight of a period in the rate of forwarded requests. */
    private static final double FORWARD_RATE_WEIGHT = 0.1;

    /** Weight of a period in the rate of answered work. */
    private static final double ANSWERED_WEIGHT = 0.2;

    private int forwarded;
    private double forwardsPerMilli;
    private double answeredMillis;
    private double healthyInFlight;

    void recordForward() {
        forwarded++;
    }

    /** Takes in a success; its work counts by the usual latency of its class. */
    void recordSuccess(double usualLatencyMillis) {
        answeredMillis += usualLatencyMillis;
    }

    /** Requests that this sidecar lately forwarded, a millisecond. */
    double forwardsPerMilli() {
        return forwardsPerMilli;
    }

    /** Attempts that would be in flight, at the rate that the endpoint answers, if each took its usual latency. */
    double healthyInFlight() {
        return healthyInFlight;
    }

    void endPeriod(double elapsedMillis) {
        forwardsPerMilli += (forwarded / elapsedMillis - forwardsPerMilli) * FORWARD_RATE_WEIGHT;
        forwarded = 0;
        healthyInFlight += (answeredMillis / elapsedMillis - healthyInFlight) * ANSWERED_WEIGHT;
        answeredMillis = 0;
    }
}
