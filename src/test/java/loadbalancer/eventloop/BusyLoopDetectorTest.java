package loadbalancer.eventloop;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The detection of loops that use processor time without handling socket events. */
class BusyLoopDetectorTest {
    private final LoopActivity activity = new LoopActivity();
    private final List<String> log = new ArrayList<>();
    private long nanos;
    private long processorNanos;
    private final BusyLoopDetector detector =
            new BusyLoopDetector(activity, new Clock(() -> nanos), () -> processorNanos, log::add);

    @BeforeEach
    void takeFirstMeasurement() {
        detector.run();
    }

    /** Advances the clock while the loop uses processor time in turns with socket events, and checks it. */
    private void advance(long millis, long processorMillis, int turns, int socketEvents) {
        nanos += TimeUnit.MILLISECONDS.toNanos(millis);
        processorNanos += TimeUnit.MILLISECONDS.toNanos(processorMillis);
        for (int i = 0; i < turns; i++) {
            activity.recordTurn(i == 0 ? socketEvents : 0);
        }
        detector.run();
    }

    @Test
    void logsSpinningLoop() {
        advance(1000, 700, 40_000, 2);
        assertEquals(
                List.of("event loop busy without cause: 700 ms of processor time in 1000 ms, 40000 turns, "
                        + "2 socket events"),
                log);
    }

    @Test
    void logsOncePerTenSeconds() {
        for (int second = 0; second < 10; second++) {
            advance(1000, 900, 50_000, 0);
        }
        assertEquals(1, log.size());
        advance(1000, 900, 50_000, 0);
        assertEquals(2, log.size());
    }

    @Test
    void ignoresLoopWithSocketEventsOrLowUsage() {
        advance(1000, 900, 300, 200);
        advance(1000, 400, 50_000, 0);
        assertEquals(List.of(), log);
    }

    @Test
    void scalesThresholdsToElapsedTime() {
        advance(4000, 1500, 3, 0);
        assertEquals(0, log.size());
        advance(4000, 2500, 3, 19);
        assertEquals(1, log.size());
    }

    @Test
    void ignoresUnknownProcessorTime() {
        processorNanos = ThreadProcessorTime.UNKNOWN;
        detector.run();
        nanos += TimeUnit.SECONDS.toNanos(1);
        processorNanos = TimeUnit.SECONDS.toNanos(1);
        detector.run();
        assertEquals(List.of(), log);
    }
}
