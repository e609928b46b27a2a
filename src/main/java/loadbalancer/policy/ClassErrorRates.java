package loadbalancer.policy;

import java.util.SplittableRandom;

/**
 * The error rate of each class at one endpoint. An endpoint may fail one class and serve the rest: an error lowers the
 * traffic of its own class there and of no other.
 */
final class ClassErrorRates {
    /** Weight of an outcome; a light sidecar meets a class at an endpoint once in many seconds. */
    private static final double OUTCOME_WEIGHT = 0.5;

    /** Part of a rate that is kept from period to period. */
    private static final double RETAINED_PER_PERIOD = 0.998;

    private final int classCount;
    /** Null until the first error: few endpoints of a large fleet ever return one. */
    private double[] rates;

    ClassErrorRates(int classCount) {
        this.classCount = classCount;
    }

    void recordError(int classIndex) {
        if (rates == null) {
            rates = new double[classCount];
        }
        rates[classIndex] += (1 - rates[classIndex]) * OUTCOME_WEIGHT;
    }

    void recordSuccess(int classIndex) {
        if (rates != null) {
            rates[classIndex] += (0 - rates[classIndex]) * OUTCOME_WEIGHT;
        }
    }

    /** Draws whether a request of this class is dropped; without any error so far there is no draw. */
    boolean drops(int classIndex, SplittableRandom random) {
        return rates != null && random.nextDouble() < rates[classIndex];
    }

    void endPeriod() {
        if (rates != null) {
            for (int i = 0; i < rates.length; i++) {
                rates[i] *= RETAINED_PER_PERIOD;
            }
        }
    }

    void clear() {
        rates = null;
    }
}
