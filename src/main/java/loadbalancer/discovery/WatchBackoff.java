package loadbalancer.discovery;

import java.util.Random;

/**
 * Randomized exponential backoff between calls to an agent that pushes endpoint lists.
 *
 * <p>The sidecar counts as notified of what the agent has, whether its watch is up or not. The longest delay is
 * therefore a part of the grace period within which requests may still go to a draining endpoint.
 */
final class WatchBackoff {
    private static final double INITIAL_DELAY_MILLIS = 100;
    private static final double MAX_DELAY_MILLIS = 4000;
    private static final double MIN_MAX_DELAY_MILLIS = 1;
    /** Largest delay as a fraction of the drain grace period, before jitter of up to half as much again. */
    private static final double MAX_DELAY_GRACE_FRACTION = 0.2;

    private static final double GROWTH_FACTOR = 2;
    private static final double MIN_JITTER_FACTOR = 0.5;

    private final double maxDelayMillis;
    private final Random random;
    private double delayMillis = INITIAL_DELAY_MILLIS;

    WatchBackoff(double drainGraceMillis, Random random) {
        double graceLimitMillis = Math.max(MIN_MAX_DELAY_MILLIS, drainGraceMillis * MAX_DELAY_GRACE_FRACTION);
        this.maxDelayMillis = Math.min(MAX_DELAY_MILLIS, graceLimitMillis);
        this.random = random;
    }

    /** Starts over with the shortest delay. */
    void reset() {
        delayMillis = INITIAL_DELAY_MILLIS;
    }

    /** Returns the delay before the next call, in milliseconds, and makes the one after it longer. */
    double nextDelayMillis() {
        double jitterFactor = MIN_JITTER_FACTOR + random.nextDouble();
        double jitteredMillis = Math.min(maxDelayMillis, delayMillis) * jitterFactor;
        delayMillis *= GROWTH_FACTOR;
        return jitteredMillis;
    }
}
