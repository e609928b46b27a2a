package loadbalancer.eventloop;

import java.util.function.LongSupplier;

/**
 * The program's clock: milliseconds that begin at Unix time and from then on follow the monotonic clock, so that no
 * step of the wall clock moves a deadline, a window or a wait. The only class that reads the wall clock.
 */
public final class Clock {
    private static final double NANOS_PER_MILLI = 1e6;

    private final LongSupplier monotonicNanos;
    private final LongSupplier wallMillis;
    private final double startUnixMillis;
    private final long startNanos;

    /** Makes a clock that follows the system's monotonic clock. */
    public Clock() {
        this(System::nanoTime);
    }

    /**
     * Makes a clock that follows another monotonic clock.
     *
     * @param monotonicNanos nanoseconds from any origin, which never run backwards
     */
    public Clock(LongSupplier monotonicNanos) {
        this(monotonicNanos, System::currentTimeMillis);
    }

    /**
     * Makes a clock that follows another monotonic clock and starts at another wall clock's time.
     *
     * @param monotonicNanos nanoseconds from any origin, which never run backwards
     * @param wallMillis milliseconds of Unix time
     */
    public Clock(LongSupplier monotonicNanos, LongSupplier wallMillis) {
        this.monotonicNanos = monotonicNanos;
        this.wallMillis = wallMillis;
        this.startUnixMillis = wallMillis.getAsLong();
        this.startNanos = monotonicNanos.getAsLong();
    }

    /** Returns the present time in milliseconds: Unix time at this clock's start plus the monotonic time since. */
    public double now() {
        return startUnixMillis + (monotonicNanos.getAsLong() - startNanos) / NANOS_PER_MILLI;
    }

    /** Returns by how many milliseconds the wall clock is ahead of this one, by steps and by drift. */
    public double wallClockOffset() {
        return wallMillis.getAsLong() - now();
    }
}
