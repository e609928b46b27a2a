package loadbalancer.policy;

import java.util.SplittableRandom;

/** When a rejected client may come back: later the more of the subset's traffic is dropped. */
final class RetryAfterCalculator {
    /** The least, as a fraction of the class's latency objective. */
    private static final double MIN_OBJECTIVE_FRACTION = 0.15;

    /** What a drop percentage of 100 adds, as a fraction of the latency objective. */
    private static final double FULL_DROP_OBJECTIVE_FRACTION = 0.3;

    /** It is drawn from 0.75 to 1.25 times that, so that rejected clients do not return together. */
    private static final double MIN_FACTOR = 0.75;

    private static final double FACTOR_RANGE = 0.5;

    private final double maxMillis;
    private final SplittableRandom random;

    RetryAfterCalculator(double maxMillis, SplittableRandom random) {
        this.maxMillis = maxMillis;
        this.random = random;
    }

    /** The Retry-After of a request of this class, in milliseconds. */
    double millis(RequestClass requestClass, EndpointState[] subset) {
        double sum = 0;
        for (EndpointState endpoint : subset) {
            sum += endpoint.drop().dropFraction();
        }
        double meanDropFraction = subset.length == 0 ? 1 : sum / subset.length;
        double objectiveFraction = MIN_OBJECTIVE_FRACTION + FULL_DROP_OBJECTIVE_FRACTION * meanDropFraction;
        double factor = MIN_FACTOR + FACTOR_RANGE * random.nextDouble();
        return Math.min(maxMillis, requestClass.latencyObjectiveMillis() * objectiveFraction * factor);
    }
}
