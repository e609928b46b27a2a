package loadbalancer.policy;

import java.util.List;

/**
 * The usual latency of each class, from which the lateness of a response follows, and how far the latencies of all
 * responses lately exceed the usual ones.
 *
 * <p>The usual latency is the lowest that the recent mean has been; it drifts upwards slowly, so that lasting changes
 * are accepted in the end. Measured against the latency objective alone, a queue would be seen only when the responses
 * in it are already late.
 */
final class LatencyBaseline {
    /** Multiple of the usual latency from which a response is fully late. */
    private static final double FULLY_LATE_MULTIPLE = 5;

    /** Weight of a response in the recent mean latency of its class. */
    private static final double RECENT_WEIGHT = 0.05;

    /** Part of the distance to the recent mean by which the usual latency rises in a period. */
    private static final double UPWARD_DRIFT_PER_PERIOD = 0.0003;

    /** Usual latency before any response, as a fraction of the latency objective. */
    private static final double INITIAL_OBJECTIVE_FRACTION = 0.3;

    /** Part of the sums of latencies that is kept from period to period: about a second of responses. */
    private static final double SUM_RETAINED_PER_PERIOD = 0.95;

    private final double[] recentMillis;
    private final double[] usualMillis;
    /** Sums over recent responses of all classes; they start at 1 ms each, so that their ratio is defined. */
    private double usualSumMillis = 1;

    private double actualSumMillis = 1;
    private double recoveryPace = 1;

    LatencyBaseline(List<RequestClass> classes) {
        recentMillis = new double[classes.size()];
        usualMillis = new double[classes.size()];
        for (int i = 0; i < recentMillis.length; i++) {
            recentMillis[i] = classes.get(i).latencyObjectiveMillis() * INITIAL_OBJECTIVE_FRACTION;
            usualMillis[i] = recentMillis[i];
        }
    }

    /** The usual latency of a class in milliseconds. */
    double usualMillis(int classIndex) {
        return usualMillis[classIndex];
    }

    /** How late a response is after this duration: 0 up to the usual latency, 1 when it is fully late. */
    double lateness(double durationMillis, int classIndex) {
        double usual = usualMillis[classIndex];
        return Math.max(0, Math.min(1, (durationMillis - usual) / (usual * (FULLY_LATE_MULTIPLE - 1))));
    }

    void recordResponse(double durationMillis, int classIndex) {
        double usual = usualMillis[classIndex];
        usualSumMillis += usual;
        actualSumMillis += Math.max(durationMillis, usual);
        recentMillis[classIndex] += (durationMillis - recentMillis[classIndex]) * RECENT_WEIGHT;
    }

    /**
     * The pace at which drop percentages fall, from 0 to 1. They keep pace with the outcomes: the fall is slower by as
     * much as responses take longer than usual.
     */
    double recoveryPace() {
        return recoveryPace;
    }

    void endPeriod() {
        recoveryPace = usualSumMillis / actualSumMillis;
        for (int i = 0; i < usualMillis.length; i++) {
            double recent = recentMillis[i];
            double usual = usualMillis[i];
            usualMillis[i] = recent < usual ? recent : usual + (recent - usual) * UPWARD_DRIFT_PER_PERIOD;
        }
        usualSumMillis = 1 + (usualSumMillis - 1) * SUM_RETAINED_PER_PERIOD;
        actualSumMillis = 1 + (actualSumMillis - 1) * SUM_RETAINED_PER_PERIOD;
    }
}
