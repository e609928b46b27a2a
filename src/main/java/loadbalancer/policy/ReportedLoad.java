package loadbalancer.policy;

/** What one endpoint's load reports say of its capacity, its utilization and the requests in flight at it. */
final class ReportedLoad {
    /** Utilization beyond which a report counts as outcomes not accepted. */
    private static final double TARGET_UTILIZATION = 0.9;

    /** Utilization below which a report is too small to divide by. */
    private static final double MIN_UTILIZATION = 0.1;

    /** Utilization above which a report is taken for nonsense. */
    private static final double MAX_UTILIZATION = 1.5;

    /** A sidecar that sends one in this many of an endpoint's requests knows its load without reports. */
    private static final double REQUESTS_PER_OWN_REQUEST = 4;

    /** Weight of a report in the capacity and the utilization. */
    private static final double REPORT_WEIGHT = 0.2;

    /** Utilization below which an endpoint may have more in flight than when healthy. */
    private static final double SPARE_UTILIZATION = 0.75;

    /** How many times as much it may have at most. */
    private static final double MAX_SPARE_FACTOR = 2.5;

    private static final double MILLIS_PER_SECOND = 1000;

    private double capacityPerSecond;
    private double utilization = 1;
    private double inFlight;
    private double probedAtMillis = Double.NEGATIVE_INFINITY;
    /** This sidecar's attempts started less those ended since the last probe. */
    private int inFlightChange;

    /** Requests a second that the endpoint could serve; 0 if it is not known. */
    double capacityPerSecond() {
        return capacityPerSecond;
    }

    /**
     * Takes in a report that came with a response. It shows the load of all other sidecars, which a light sidecar does
     * not see in its own attempts; so it counts less the more of the endpoint's traffic is this sidecar's.
     *
     * @param report the report, or null
     * @param ownRequestsPerMilli the rate at which this sidecar forwards to the endpoint
     * @return how far the report counts as an overload, from 0 to 1
     */
    double record(LoadReport report, double ownRequestsPerMilli) {
        if (!plausible(report)) {
            return 0;
        }
        double requestsPerSecond = report.requestsPerSecond();
        utilization += (report.utilization() - utilization) * REPORT_WEIGHT;
        if (report.utilization() >= MIN_UTILIZATION) {
            double weight = capacityPerSecond > 0 ? REPORT_WEIGHT : 1;
            capacityPerSecond += (requestsPerSecond / report.utilization() - capacityPerSecond) * weight;
        }
        double excess = (report.utilization() - TARGET_UTILIZATION) / (1 - TARGET_UTILIZATION);
        double overload = Math.min(1, Math.max(0, excess));
        double ownFraction = ownRequestsPerMilli * MILLIS_PER_SECOND / requestsPerSecond;
        return overload * Math.max(0, 1 - REQUESTS_PER_OWN_REQUEST * ownFraction);
    }

    private static boolean plausible(LoadReport report) {
        return report != null
                && report.utilization() >= 0
                && report.utilization() <= MAX_UTILIZATION
                && report.requestsPerSecond() > 0
                && report.requestsPerSecond() < Double.POSITIVE_INFINITY;
    }

    /** Takes in the response to a probe; {@code report} may be null. */
    void recordProbe(double nowMillis, LoadReport report) {
        if (report != null && report.inFlight() >= 0 && report.inFlight() < Double.POSITIVE_INFINITY) {
            inFlight = report.inFlight();
            probedAtMillis = nowMillis;
            inFlightChange = 0;
        }
    }

    void attemptStarted() {
        inFlightChange++;
    }

    void attemptEnded() {
        inFlightChange--;
    }

    /** Milliseconds since the endpoint reported its requests in flight; infinite if it never did. */
    double probeAgeMillis(double nowMillis) {
        return nowMillis - probedAtMillis;
    }

    /** Requests in flight as last probed, with what this sidecar has started and ended since. */
    double inFlight() {
        return inFlight + inFlightChange;
    }

    /**
     * How many times what is in flight when it is healthy the endpoint can take, by its own reports.
     *
     * <p>Without it the limit by answered work would lower itself, since rejected requests bring no answers, and new
     * endpoints, which have answered nothing, would get nothing. Where reports are late, an endpoint that has just
     * become busy gets too much until its outcomes raise the drop percentage.
     */
    double spareFactor() {
        return Math.max(1, SPARE_UTILIZATION / Math.max(SPARE_UTILIZATION / MAX_SPARE_FACTOR, utilization));
    }

    /** Forgets the capacity, which a restarted process need not have. */
    void resetCapacity() {
        capacityPerSecond = 0;
    }
}
