package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import loadbalancer.eventloop.Clock;
import loadbalancer.eventloop.LoopLateness;
import loadbalancer.testing.FakeServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Timers, and the lateness that they record. */
class LoopTimersTest {
    private final EventLoop loop = new DefaultEventLoop();
    private final AtomicLong nanos = new AtomicLong();
    private final Clock clock = new Clock(nanos::get);
    private final LoopLateness lateness = new LoopLateness(clock);
    private final LoopTimers timers = new LoopTimers(loop, clock, lateness);

    @AfterEach
    void stopLoop() {
        loop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void recordsLatenessBeforeTaskRuns() throws Exception {
        double[] seenByTask = new double[1];
        loop.submit(() -> {
                    var timer = timers.schedule(10, () -> seenByTask[0] = lateness.current());
                    nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(50));
                    return timer;
                })
                .get(FakeServer.TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .get(FakeServer.TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertEquals(40, seenByTask[0], 1e-3);
    }

    @Test
    void runsNegativeDelayAtOnceWithoutLateness() throws Exception {
        AtomicInteger runs = new AtomicInteger();
        timers.schedule(-5, runs::incrementAndGet).get(FakeServer.TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertEquals(1, runs.get());
        assertEquals(0, lateness.current());
    }

    @Test
    void neverRunsCancelledTask() throws Exception {
        AtomicInteger runs = new AtomicInteger();
        loop.submit(() -> assertTrue(timers.schedule(1, runs::incrementAndGet).cancel(false)))
                .get(FakeServer.TIMEOUT_SECONDS, TimeUnit.SECONDS);
        timers.schedule(5, () -> {}).get(FakeServer.TIMEOUT_SECONDS, TimeUnit.SECONDS);
        assertEquals(0, runs.get());
    }
}
