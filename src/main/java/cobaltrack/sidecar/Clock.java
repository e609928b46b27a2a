package cobaltrack.sidecar;

import java.util.function.LongSupplier;

/**
 * The module's clock: milliseconds that begin at Unix time and from then on follow the monotonic clock.
 * Starts of endpoints, told in Unix time, so need no conversion, and a clock that is set cannot run the
 * module backwards.
 */
final class Clock {
    private static final double NANOS_IN_MILLI = 1e6;

    private final double unixAtStart = System.currentTimeMillis();
    private final LongSupplier nanos;
    private final long nanosAtStart;

    Clock() {
        this(System::nanoTime);
    }

    /** A clock that follows this one, in nanoseconds, which never runs backwards. */
    Clock(LongSupplier nanos) {
        this.nanos = nanos;
        this.nanosAtStart = nanos.getAsLong();
    }

    double now() {
        return unixAtStart + (nanos.getAsLong() - nanosAtStart) / NANOS_IN_MILLI;
    }
}
