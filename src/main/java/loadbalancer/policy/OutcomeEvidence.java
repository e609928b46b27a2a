package loadbalancer.policy;

/**
 * Recent outcomes of one endpoint, or of the whole subset: how many there were, and how many of them, in parts, were
 * not accepted. Old outcomes lose weight with each period.
 */
final class OutcomeEvidence {
    /**
     * Outcomes of the whole subset that stand in for an endpoint's own; one bad outcome is no trend, and
     * with few outcomes what all endpoints show together is the only sign of an overload.
     */
    static final double PRIOR_OUTCOMES = 2.0;

    private double rejectedWeight;
    private double totalWeight;

    /**
     * Adds outcomes.
     *
     * @param rejectedFraction how far they count as not accepted, from 0 to 1
     * @param weight how many outcomes they stand for
     */
    void add(double rejectedFraction, double weight) {
        rejectedWeight += rejectedFraction * weight;
        totalWeight += weight;
    }

    /** Keeps this part of the weight of everything so far. */
    void decay(double retainedFraction) {
        rejectedWeight *= retainedFraction;
        totalWeight *= retainedFraction;
    }

    void clear() {
        rejectedWeight = 0;
        totalWeight = 0;
    }

    double rejectedWeight() {
        return rejectedWeight;
    }

    double totalWeight() {
        return totalWeight;
    }

    /** The part that was not accepted, with {@link #PRIOR_OUTCOMES} accepted ones added. */
    double rejectedFraction() {
        return rejectedWeight / (totalWeight + PRIOR_OUTCOMES);
    }
}
