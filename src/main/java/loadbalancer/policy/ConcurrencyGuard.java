package loadbalancer.policy;

/**
 * Drops requests by the attempts in flight, where these exceed what the endpoints have in flight when they are healthy.
 * It acts on a burst, or on an endpoint that becomes slow, within one period, since outcomes arrive later than that.
 */
final class ConcurrencyGuard {
    /** Attempts added to both sides of a comparison, so that small numbers differ less. */
    private static final double SLACK = 0.5;

    /** Attempts that an endpoint may have in any case: one is no overload. */
    private static final double MIN_HEALTHY_IN_FLIGHT = 1;

    /** Multiple of what the subset has in flight when healthy up to which nothing is dropped. */
    private static final double SUBSET_MULTIPLE = 1.6;

    /** Square roots of that number which are allowed besides: its standard deviations, if attempts are independent. */
    private static final double SUBSET_DEVIATIONS = 1.3;

    /** Attempts that all sidecars together may have for each endpoint, whatever was answered. */
    private static final double MIN_IN_FLIGHT_PER_ENDPOINT = 3;

    private final double maxReportAgeMillis;
    private double subsetLimit = Double.MAX_VALUE;
    /** Attempts in flight as of the walk under way: the mean, and the sum over endpoints that are not ejected. */
    private double meanInFlight;

    private double activeInFlight;

    /** A guard that uses what endpoints report of their requests in flight for so long. */
    ConcurrencyGuard(double maxReportAgeMillis) {
        this.maxReportAgeMillis = maxReportAgeMillis;
    }

    /**
     * Sets what the subset may have in flight; there is no limit before the first call.
     *
     * @param healthyInFlight what it would have in flight if healthy, at the rate that it answers
     * @param endpoints those that are not ejected
     * @param endpointsPerPlace ready endpoints for each place in the subsets of the fleet
     */
    void endPeriod(double healthyInFlight, int endpoints, double endpointsPerPlace) {
        double limit = SUBSET_MULTIPLE * healthyInFlight + SUBSET_DEVIATIONS * Math.sqrt(healthyInFlight);
        subsetLimit = Math.max(limit, MIN_IN_FLIGHT_PER_ENDPOINT * endpoints * Math.min(1, endpointsPerPlace));
    }

    /** Takes in what is in flight at the candidates of a walk that begins. */
    void beginWalk(double nowMillis, EndpointState[] candidates) {
        double sum = 0;
        double active = 0;
        for (EndpointState endpoint : candidates) {
            sum += endpoint.inFlightEstimate(nowMillis, maxReportAgeMillis);
            if (!endpoint.outlier().ejected()) {
                active += endpoint.inFlight().activeCount();
            }
        }
        meanInFlight = candidates.length == 0 ? 0 : sum / candidates.length;
        activeInFlight = active;
    }

    /**
     * The fraction of requests to drop for the attempts in flight at the whole subset. It is drawn against once for a
     * request: a fraction that all endpoints have in common, drawn against at each in turn, is passed by nearly every
     * request somewhere in a wide subset.
     */
    double subsetDropFraction() {
        return dropFraction((subsetLimit + SLACK) / (activeInFlight + SLACK));
    }

    /**
     * The fraction of requests to drop for the attempts in flight at one candidate, where they exceed the mean of all
     * candidates or what the endpoint has in flight when healthy.
     */
    double endpointDropFraction(double nowMillis, EndpointState endpoint) {
        double estimate = endpoint.inFlightEstimate(nowMillis, maxReportAgeMillis);
        double healthy = Math.max(MIN_HEALTHY_IN_FLIGHT, endpoint.traffic().healthyInFlight())
                * endpoint.reportedLoad().spareFactor();
        double byMean = (meanInFlight + SLACK) / (estimate + SLACK);
        double byHealthy = (healthy + SLACK) / (endpoint.inFlight().activeCount() + SLACK);
        return dropFraction(Math.min(byMean, byHealthy));
    }

    /** The drop rises steeply, by the eighth power of the ratio of what is allowed to what is in flight. */
    private static double dropFraction(double ratio) {
        if (ratio >= 1) {
            return 0;
        }
        double square = ratio * ratio;
        double fourth = square * square;
        return 1 - fourth * fourth;
    }
}
