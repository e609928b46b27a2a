package loadbalancer.policy;

import java.util.SplittableRandom;

/**
 * Limits what an endpoint gets while it warms up, by a token bucket for each.
 *
 * <p>Tokens come by the fraction of its capacity that the endpoint has at its age, and by what this sidecar lately
 * forwarded to an endpoint that is warm.
 */
final class SlowStartBudget {
    /** Multiple of its part of what a warm endpoint gets that one in slow start gets at most. */
    private static final double MAX_RATE_MULTIPLE = 1.5;

    /**
     * Part of the rate at which it becomes overloaded that it gets at most, and for what other endpoints dropped the
     * part of the fleet's budget for a window.
     */
    private static final double MAX_OVERLOAD_FRACTION = 0.375;

    /** Tokens saved up at most; more would let the first choices of many sidecars arrive together. */
    private static final double SLOW_START_MAX_TOKENS = 1.5;

    /** Weight of a period in the warm rate. */
    private static final double WARM_RATE_WEIGHT = 0.05;

    /** Drop fraction from which an endpoint does not count for the warm rate. */
    private static final double MAX_WARM_DROP_FRACTION = 0.5;

    private final OperatorRules rules;
    private final SplittableRandom random;
    /** Requests a millisecond that a warm endpoint lately got from this sidecar. */
    private double warmPerMilli;

    private boolean warmSeen;

    SlowStartBudget(OperatorRules rules, SplittableRandom random) {
        this.rules = rules;
        this.random = random;
    }

    /** The fraction of its capacity that an endpoint has at least, by the age of its process. */
    double capacityFraction(double nowMillis, EndpointState endpoint) {
        double startMillis = endpoint.processStartMillis();
        double ageMillis = nowMillis - startMillis;
        if (startMillis == 0 || ageMillis >= rules.slowStartMillis()) {
            return 1;
        }
        double initial = rules.slowStartInitialFraction();
        return initial + (1 - initial) * Math.max(0, ageMillis) / rules.slowStartMillis();
    }

    /**
     * Takes a token of an endpoint, which one that is warm does not need.
     *
     * <p>First choices are spread over the fleet by chance. What other endpoints dropped comes from all sidecars at
     * once; it passes by this sidecar's part of the fleet's budget for an overload window.
     *
     * @param firstChoice true for the first candidate of a request's first attempt
     * @param subsetSize endpoints of the subset
     * @param candidates endpoints of the walk, which may be more
     */
    boolean tryTake(double nowMillis, EndpointState endpoint, boolean firstChoice, int subsetSize, int candidates) {
        double capacity = capacityFraction(nowMillis, endpoint);
        if (capacity >= 1) {
            return true;
        }
        double overloadPerMilli = rules.overloadMultiple() * capacity * warmPerMilli;
        double maxPerMilli =
                Math.min(MAX_RATE_MULTIPLE * capacity * warmPerMilli, MAX_OVERLOAD_FRACTION * overloadPerMilli);
        TokenBucket bucket = endpoint.slowStartTokens();
        bucket.refill(nowMillis, maxPerMilli, SLOW_START_MAX_TOKENS);
        double passFraction =
                MAX_OVERLOAD_FRACTION * overloadPerMilli * rules.overloadWindowMillis() * subsetSize / candidates;
        boolean taken = bucket.hasToken() && (firstChoice || random.nextDouble() < passFraction);
        if (taken) {
            bucket.take();
        }
        return taken;
    }

    /** Learns what a warm endpoint gets from this sidecar, from those of the subset that are not mostly shut out. */
    void learnWarmRate(double nowMillis, EndpointState[] subset) {
        double sum = 0;
        int count = 0;
        for (EndpointState endpoint : subset) {
            if (endpoint.drop().dropFraction() < MAX_WARM_DROP_FRACTION && capacityFraction(nowMillis, endpoint) >= 1) {
                sum += endpoint.traffic().forwardsPerMilli();
                count++;
            }
        }
        if (count > 0) {
            warmSeen = true;
            warmPerMilli += (sum / count - warmPerMilli) * WARM_RATE_WEIGHT;
        }
    }

    /**
     * True until a warm endpoint has been seen. After that the last rate stands while none is left: budgets would
     * shrink with the traffic that they allow.
     */
    boolean warmRateUnknown() {
        return !warmSeen;
    }

    /** Takes this for the warm rate until a warm endpoint is seen. */
    void assumeWarmRate(double requestsPerMilli) {
        warmPerMilli = requestsPerMilli;
    }
}
