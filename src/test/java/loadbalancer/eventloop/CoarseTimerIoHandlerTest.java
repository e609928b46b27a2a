package loadbalancer.eventloop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.TestSidecar;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** A loop that waits for its next timer sleeps and does not poll its sockets. */
class CoarseTimerIoHandlerTest {
    private static final int TIMERS = 200;
    /** A turn that runs the timer, one that sets the next, and the periodic sweeps of a sidecar in between. */
    private static final int MAX_TURNS_PER_TIMER = 4;
    /** No multiple of a millisecond, so that the remaining delays take every fraction of one. */
    private static final long TIMER_NANOS = 3_370_000;

    private final LoopActivity activity = new LoopActivity();
    private final EventLoop loop = EventLoops.newEventLoop(activity);

    @AfterEach
    void stop() {
        loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void idleLoopTakesFewTurnsPerTimer() throws Exception {
        assertTrue(turnsOfTimers(loop, activity) <= TIMERS * MAX_TURNS_PER_TIMER);
    }

    @Test
    void idleSidecarTakesFewTurnsPerTimer() throws Exception {
        try (TestSidecar sidecar = new TestSidecar("127.0.0.1:1")) {
            long turns = turnsOfTimers(sidecar.group.next(), sidecar.activity);
            assertTrue(turns <= TIMERS * MAX_TURNS_PER_TIMER, turns + " turns");
        }
    }

    @Test
    void roundsDelayUpToWholeMilliseconds() {
        assertEquals(1_000_000, CoarseTimerIoHandler.roundUp(1));
        assertEquals(1_000_000, CoarseTimerIoHandler.roundUp(499_999));
        assertEquals(1_000_000, CoarseTimerIoHandler.roundUp(1_000_000));
        assertEquals(2_000_000, CoarseTimerIoHandler.roundUp(1_000_001));
    }

    @Test
    void leavesElapsedAndInfiniteDelaysUnchanged() {
        assertEquals(0, CoarseTimerIoHandler.roundUp(0));
        assertEquals(-5, CoarseTimerIoHandler.roundUp(-5));
        assertEquals(Long.MAX_VALUE, CoarseTimerIoHandler.roundUp(Long.MAX_VALUE));
    }

    /** Returns the turns that a loop took while {@link #TIMERS} timers ran, each set by the one before. */
    private static long turnsOfTimers(EventLoop loop, LoopActivity activity) throws Exception {
        CountDownLatch done = new CountDownLatch(TIMERS);
        long before = loop.submit(activity::turns).get();
        loop.execute(() -> runTimer(loop, done));
        assertTrue(done.await(FakeServer.TIMEOUT_SECONDS, TimeUnit.SECONDS));
        return loop.submit(activity::turns).get() - before;
    }

    private static void runTimer(EventLoop loop, CountDownLatch done) {
        done.countDown();
        if (done.getCount() > 0) {
            loop.schedule(() -> runTimer(loop, done), TIMER_NANOS, TimeUnit.NANOSECONDS);
        }
    }
}
