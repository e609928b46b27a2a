package loadbalancer.faultsearch;

import io.netty.util.concurrent.Ticker;
import java.util.concurrent.TimeUnit;

/** A clock that stands still until it is set on; its origin is the beginning of a run. */
final class VirtualClock implements Ticker {
    private static final double NANOS_PER_MILLI = 1e6;
    private long nanos;

    @Override
    public long initialNanoTime() {
        return 0;
    }

    @Override
    public long nanoTime() {
        return nanos;
    }

    @Override
    public void sleep(long delay, TimeUnit unit) {
        throw new UnsupportedOperationException("nothing may wait in virtual time");
    }

    double millis() {
        return nanos / NANOS_PER_MILLI;
    }

    /** Sets the clock on; a time that has passed changes nothing. */
    void advanceTo(long toNanos) {
        nanos = Math.max(nanos, toNanos);
    }

    static long nanos(double millis) {
        return (long) Math.ceil(millis * NANOS_PER_MILLI);
    }
}
