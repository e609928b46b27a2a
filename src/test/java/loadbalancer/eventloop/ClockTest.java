package loadbalancer.eventloop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** The program's clock against monotonic and wall clocks that the test sets. */
class ClockTest {
    private static final long START_UNIX_MILLIS = 1_700_000_000_000L;

    private long monotonicNanos = 5_000;
    private long wallMillis = START_UNIX_MILLIS;
    private final Clock clock = new Clock(() -> monotonicNanos, () -> wallMillis);

    // Endpoint start times are Unix times and need no conversion; those before this process stay below its start.
    @Test
    void startsAtUnixTime() {
        double before = System.currentTimeMillis();
        Clock systemClock = new Clock();
        double first = systemClock.now();
        double second = systemClock.now();
        assertTrue(first >= before, first + " is before " + before);
        assertTrue(second >= first);
    }

    @Test
    void followsMonotonicClock() {
        assertEquals(START_UNIX_MILLIS, clock.now());
        monotonicNanos += TimeUnit.MICROSECONDS.toNanos(2500);
        assertEquals(START_UNIX_MILLIS + 2.5, clock.now());
    }

    @Test
    void ignoresStepsOfWallClock() {
        wallMillis -= 60_000;
        assertEquals(START_UNIX_MILLIS, clock.now());
    }

    @Test
    void wallClockOffsetIsStepOfWallClock() {
        assertEquals(0, clock.wallClockOffset());
        wallMillis += 60_000;
        assertEquals(60_000, clock.wallClockOffset());
        monotonicNanos += TimeUnit.MILLISECONDS.toNanos(10);
        assertEquals(59_990, clock.wallClockOffset());
    }
}
