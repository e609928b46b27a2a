package loadbalancer.policy;

/**
 * Ejects one endpoint that fails repeatedly.
 *
 * <p>It is ejected while its consecutive failures are unlikely by what the whole subset fails. A light sidecar's
 * {@link OutcomeEvidence} has decayed before the next outcome arrives; the run of failures has not.
 */
final class OutlierDetector {
    /** Likelihood of the consecutive failures below which the endpoint is ejected. */
    private static final double MAX_EJECTED_LIKELIHOOD = 0.02;

    /** Least failure rate that is assumed of the subset; two failures in a row are needed at least. */
    private static final double MIN_FAILURE_RATE = 0.1;

    /** Failures while ejected that count, each of which halves the pace of recovery. */
    private static final int MAX_RECOVERY_HALVINGS = 1;

    private double failureLikelihood = 1;
    private int ejections;

    /** True while the endpoint is ejected. */
    boolean ejected() {
        return failureLikelihood < MAX_EJECTED_LIKELIHOOD;
    }

    /** Ends the run of failures: the endpoint answered, though it may have rejected the request. */
    void markResponsive() {
        failureLikelihood = 1;
        ejections = 0;
    }

    /**
     * Takes in a failure.
     *
     * @param subsetFailureRate part of the whole subset's recent outcomes that was not accepted
     * @return true if the endpoint is ejected now
     */
    boolean recordFailure(double subsetFailureRate) {
        failureLikelihood *= Math.max(MIN_FAILURE_RATE, subsetFailureRate);
        if (!ejected()) {
            return false;
        }
        ejections++;
        return true;
    }

    /** How many times more slowly the endpoint's drop percentage falls. */
    int recoverySlowdown() {
        return 1 << Math.min(MAX_RECOVERY_HALVINGS, ejections);
    }
}
