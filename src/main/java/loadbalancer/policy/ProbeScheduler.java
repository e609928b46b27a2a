package loadbalancer.policy;

/** Probes the endpoints of the subset for their load in turn, as far as requests pay for it. */
final class ProbeScheduler {
    /** What probes may cost, in the settings' price of one probe a request. */
    private static final double MAX_COST_PER_REQUEST = 0.008;

    /** Probes for each request at most. */
    private static final double MAX_PROBES_PER_REQUEST = 8;

    /** Least price of a probe, so that a price of 0 is no division by zero. */
    private static final double MIN_PROBE_COST = 1e-9;

    /**
     * Weight of a period in the rate at which probes are earned; it spreads them over the time between
     * requests, for those sent right after a request are out of date when a light sidecar's next one comes.
     */
    private static final double EARNED_WEIGHT = 0.02;

    private final PolicyActions actions;
    private final double maxReportAgeMillis;
    private final double probesPerRequest;
    private double tokens;
    private double earnedThisPeriod;
    private double tokensPerPeriod;
    private int position;

    /** A scheduler for reports that are of use for so long. */
    ProbeScheduler(PolicySettings settings, double maxReportAgeMillis, PolicyActions actions) {
        this.actions = actions;
        this.maxReportAgeMillis = maxReportAgeMillis;
        PolicyLimits limits = settings.limits();
        boolean enabled = limits.probes() && settings.reporting() == LoadReporting.WITH_PROBES;
        double affordable = MAX_COST_PER_REQUEST / Math.max(MIN_PROBE_COST, limits.probeCost());
        this.probesPerRequest = enabled ? Math.min(MAX_PROBES_PER_REQUEST, affordable) : 0;
    }

    /** Takes in a request that has arrived. */
    void earn() {
        earnedThisPeriod += probesPerRequest;
    }

    /** Sends the probes that are due to the subset, given by rank. */
    void endPeriod(double nowMillis, EndpointState[] subset) {
        tokensPerPeriod += (earnedThisPeriod - tokensPerPeriod) * EARNED_WEIGHT;
        earnedThisPeriod = 0;
        tokens = Math.min(tokens + tokensPerPeriod, subset.length);
        for (int i = 0; i < subset.length && tokens >= 1; i++) {
            position = (position + 1) % subset.length;
            if (probeUseful(nowMillis, subset[position])) {
                actions.probe(subset[position].id());
                tokens--;
            }
        }
    }

    /** A busy endpoint that was probed of late is passed by anyway; the probe is of more use elsewhere. */
    private boolean probeUseful(double nowMillis, EndpointState endpoint) {
        return endpoint.reportedLoad().probeAgeMillis(nowMillis) > maxReportAgeMillis / 2
                || endpoint.inFlightEstimate(nowMillis, maxReportAgeMillis) < 1;
    }
}
