package loadbalancer.policy;

/**
 * The drop percentage of one endpoint: the part of the requests chosen for it that goes elsewhere or is rejected.
 *
 * <p>It is the traffic reduction of the "Loss" algorithm in C4-140439 (a change to 3GPP TR 29.807, 6.4.1.2), which is
 * corrected periodically from the reduction in use. There the overloaded node requests it; endpoints here send none, so
 * each sidecar derives it from its own outcomes, by one step a control period.
 */
final class DropController {
    /** Part of the outcomes not accepted that is tolerated; chance gives this much just below overload. */
    private static final double MAX_REJECTED_FRACTION = 0.2;

    /**
     * Part of the subset's outcomes not accepted beyond which they count for each endpoint; faults of single
     * endpoints stay theirs.
     */
    private static final double MAX_SUBSET_REJECTED_FRACTION = 0.25;

    /** Part of the distance to 1 that one bad period adds at most. */
    private static final double MAX_INCREASE_PER_PERIOD = 0.5;

    /** Excess of outcomes not accepted from which a period adds that much. */
    private static final double FULL_INCREASE_EXCESS = 0.5;

    /**
     * What a good or idle period takes off, as a part of what passes; by fixed steps an overloaded endpoint
     * would get far too much before the first outcome arrives.
     */
    private static final double DECREASE_PER_PERIOD = 0.08;

    /** What it takes off in any case, so that an endpoint that gets nothing recovers too. */
    private static final double MIN_DECREASE_PER_PERIOD = 0.004;

    /** Part of the evidence that is kept: 0 to 2 outcomes a period still add up. */
    private static final double EVIDENCE_RETAINED_PER_PERIOD = 0.7;

    private double dropFraction;
    private final OutcomeEvidence evidence = new OutcomeEvidence();

    /** The drop percentage as a fraction, from 0 to 1. */
    double dropFraction() {
        return dropFraction;
    }

    /** The endpoint's own recent outcomes. */
    OutcomeEvidence evidence() {
        return evidence;
    }

    /** Drops everything from now on, until good or idle periods lower the percentage. */
    void dropAll() {
        dropFraction = 1;
    }

    void reset() {
        dropFraction = 0;
        evidence.clear();
    }

    /**
     * One step, at the end of a control period: up while too much is not accepted, else down.
     *
     * @param lateInFlight lateness of the endpoint's attempts that are still in flight
     * @param subset outcomes of the whole subset
     * @param recoveryPace factor on the fall, from 0 to 1
     * @param recoverySlowdown divisor of the fall
     */
    void step(OutcomeEvidence lateInFlight, OutcomeEvidence subset, double recoveryPace, int recoverySlowdown) {
        double rejected = evidence.rejectedWeight();
        double total = evidence.totalWeight();
        // A single unanswered request would count anew in each period; a second one or its timeout has to confirm
        // it. An endpoint that vanishes is noticed one attempt later.
        if (lateInFlight.totalWeight() > 1) {
            rejected += lateInFlight.rejectedWeight();
            total += lateInFlight.totalWeight();
        }
        double prior = OutcomeEvidence.PRIOR_OUTCOMES;
        double subsetExcess = Math.max(0, subset.rejectedFraction() - MAX_SUBSET_REJECTED_FRACTION);
        double excess = (rejected + prior * subsetExcess) / (total + prior) - MAX_REJECTED_FRACTION;
        if (excess > 0) {
            dropFraction += (1 - dropFraction) * MAX_INCREASE_PER_PERIOD * Math.min(1, excess / FULL_INCREASE_EXCESS);
        } else {
            double decrease = DECREASE_PER_PERIOD * recoveryPace * (1 - dropFraction) + MIN_DECREASE_PER_PERIOD;
            dropFraction = Math.max(0, dropFraction - decrease / recoverySlowdown);
        }
        evidence.decay(EVIDENCE_RETAINED_PER_PERIOD);
    }

    /**
     * Catches up on the periods that the endpoint spent outside the subset, all of them idle; in closed form, so that
     * endpoints outside the subset cost nothing.
     */
    void recoverIdlePeriods(double periods) {
        if (periods >= 1) {
            double offset = MIN_DECREASE_PER_PERIOD / DECREASE_PER_PERIOD;
            double passing = (1 - dropFraction + offset) * Math.pow(1 + DECREASE_PER_PERIOD, periods) - offset;
            dropFraction = Math.max(0, 1 - passing);
            evidence.clear();
        }
    }
}
