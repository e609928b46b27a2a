package loadbalancer.policy;

/** Takes the outcome of each attempt into the evidence on its endpoint and on the whole subset. */
final class OutcomeRecorder {
    /** Outcomes for which a report of overload counts. */
    private static final int OUTCOMES_PER_REPORT = 3;

    /** Part of the subset's evidence that is kept from period to period: about a second of outcomes. */
    private static final double SUBSET_RETAINED_PER_PERIOD = 0.95;

    private final LatencyBaseline latencies;
    private final OutcomeEvidence subsetEvidence = new OutcomeEvidence();

    OutcomeRecorder(LatencyBaseline latencies) {
        this.latencies = latencies;
    }

    /** Recent outcomes of the whole subset. */
    OutcomeEvidence subsetEvidence() {
        return subsetEvidence;
    }

    /** Takes in an attempt that has ended; {@code report} may be null. */
    void record(AttemptState attempt, AttemptOutcome outcome, double durationMillis, LoadReport report) {
        EndpointState endpoint = attempt.endpoint();
        int classIndex = attempt.request().classIndex();
        double overload =
                endpoint.reportedLoad().record(report, endpoint.traffic().forwardsPerMilli());
        switch (outcome) {
            case SUCCESS -> recordSuccess(endpoint, classIndex, durationMillis, overload);
            case REJECTED -> {
                endpoint.outlier().markResponsive();
                addEvidence(endpoint, 1);
            }
            case CONNECT_FAILED, RESET, TIMED_OUT -> recordFailure(endpoint);
            case ERROR -> endpoint.errorRates().recordError(classIndex);
            case CANCELLED, NOT_SENT -> {
                // Neither says anything of the endpoint.
            }
        }
    }

    private void recordSuccess(EndpointState endpoint, int classIndex, double durationMillis, double overload) {
        endpoint.outlier().markResponsive();
        endpoint.errorRates().recordSuccess(classIndex);
        addEvidence(endpoint, latencies.lateness(durationMillis, classIndex));
        if (overload > 0) {
            endpoint.drop().evidence().add(overload, OUTCOMES_PER_REPORT);
        }
        endpoint.traffic().recordSuccess(latencies.usualMillis(classIndex));
        latencies.recordResponse(durationMillis, classIndex);
    }

    private void recordFailure(EndpointState endpoint) {
        addEvidence(endpoint, 1);
        if (endpoint.outlier().recordFailure(subsetEvidence.rejectedFraction())) {
            endpoint.drop().dropAll();
        }
    }

    private void addEvidence(EndpointState endpoint, double rejectedFraction) {
        endpoint.drop().evidence().add(rejectedFraction, 1);
        subsetEvidence.add(rejectedFraction, 1);
    }

    void endPeriod() {
        subsetEvidence.decay(SUBSET_RETAINED_PER_PERIOD);
    }
}
