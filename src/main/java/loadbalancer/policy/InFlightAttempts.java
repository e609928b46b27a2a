package loadbalancer.policy;

/**
 * The attempts in flight at one endpoint, oldest first.
 *
 * <p>An attempt that later ones overtake by far is stalled: its connection fell silent, it was never taken up, or its
 * work hangs. It is no sign of a queue, and counted as one it would shut out an endpoint that works. Where an endpoint
 * starves old work for new, its queue shows in the response times and the outcomes alone.
 */
final class InFlightAttempts {
    /** Attempts examined at once; bounds the work of a period and of an answer. */
    private static final int MAX_EXAMINED_ATTEMPTS = 64;

    /**
     * An answer overtakes by far if it took less than this part of the older attempt's wait; with less, long
     * work on shared processors would pass for stalled, and the endpoints would be overdriven.
     */
    private static final double FAST_OVERTAKE_FRACTION = 0.3;

    /** Fast overtakes from which an attempt counts as stalled. */
    private static final int MIN_FAST_OVERTAKES = 2;

    private int count;
    private int stalled;
    private AttemptState oldest;
    private AttemptState newest;

    boolean isEmpty() {
        return oldest == null;
    }

    int count() {
        return count;
    }

    /** Attempts in flight without those that are stalled. */
    int activeCount() {
        return count - stalled;
    }

    void add(AttemptState attempt) {
        attempt.setOlder(newest);
        if (newest == null) {
            oldest = attempt;
        } else {
            newest.setNewer(attempt);
        }
        newest = attempt;
        count++;
    }

    void remove(AttemptState attempt) {
        attempt.markEnded();
        count--;
        if (attempt.fastOvertakes() >= MIN_FAST_OVERTAKES) {
            stalled--;
        }
        AttemptState older = attempt.older();
        AttemptState newer = attempt.newer();
        if (older == null) {
            oldest = newer;
        } else {
            older.setNewer(newer);
        }
        if (newer == null) {
            newest = older;
        } else {
            newer.setOlder(older);
        }
    }

    /**
     * Marks the older attempts that an answered one has overtaken.
     *
     * @param durationMillis how long the answer took, or usually takes if that is longer
     */
    void markOvertakenBy(AttemptState answered, double nowMillis, double durationMillis) {
        double stallMillis = durationMillis / FAST_OVERTAKE_FRACTION;
        int examined = 0;
        AttemptState attempt = answered.older();
        while (attempt != null && examined < MAX_EXAMINED_ATTEMPTS) {
            attempt.markOvertaken();
            boolean fast = nowMillis - attempt.sentAtMillis() > stallMillis;
            if (fast && attempt.countFastOvertake() == MIN_FAST_OVERTAKES) {
                stalled++;
            }
            attempt = attempt.older();
            examined++;
        }
    }

    /** The lateness so far of the oldest attempts, each late one an outcome; overtaken ones do not count. */
    OutcomeEvidence latenessEvidence(double nowMillis, LatencyBaseline latencies) {
        OutcomeEvidence evidence = new OutcomeEvidence();
        int examined = 0;
        AttemptState attempt = oldest;
        while (attempt != null && examined < MAX_EXAMINED_ATTEMPTS) {
            int classIndex = attempt.request().classIndex();
            double lateness = latencies.lateness(nowMillis - attempt.sentAtMillis(), classIndex);
            if (lateness > 0 && !attempt.overtaken()) {
                evidence.add(lateness, 1);
            }
            attempt = attempt.newer();
            examined++;
        }
        return evidence;
    }
}
