package loadbalancer.eventloop;

import java.util.function.LongSupplier;

/**
 * The module's clock: milliseconds that begin at Unix time and from then on follow the monotonic clock, so that no
 * step of the wall clock moves a deadline, a window or a wait. The only class that reads the wall clock.
 */
public final class Clock {
    private static final double NANOS_IN_MILLI = 1e6;

    private final LongSupplier nanos;
    private final LongSupplier wallMillis;
    private final double unixAtStart;
    private final long nanosAtStart;

    public Clock() {
        this(System::nanoTime);
    }

    /** A clock that follows this one, in nanoseconds, which never runs backwards. */
    public Clock(LongSupplier nanos) {
        this(nanos, System::currentTimeMillis);
    }

    /** A clock that follows the first one, in nanoseconds, beside a wall clock in milliseconds of Unix time. */
    public Clock(LongSupplier nanos, LongSupplier wallMillis) {
        this.nanos = nanos;
        this.wallMillis = wallMillis;
        this.unixAtStart = wallMillis.getAsLong();
        this.nanosAtStart = nanos.getAsLong();
    }

    public double now() {
        return unixAtStart + (nanos.getAsLong() - nanosAtStart) / NANOS_IN_MILLI;
    }

    /** By how many milliseconds the wall clock is ahead of this one: as far as it was stepped, and its drift. */
    public double wallClockOffset() {
        return wallMillis.getAsLong() - now();
    }
}
