package loadbalancer.proxy;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import loadbalancer.eventloop.Clock;
import loadbalancer.eventloop.LoopLateness;

/** Timers on the event loop, each of which records how late the loop ran it. */
final class LoopTimers {
    private static final double NANOS_PER_MILLI = 1e6;

    private final EventLoop loop;
    private final Clock clock;
    private final LoopLateness lateness;

    /** Creates timers on this loop that record its lateness there. */
    LoopTimers(EventLoop loop, Clock clock, LoopLateness lateness) {
        this.loop = loop;
        this.clock = clock;
        this.lateness = lateness;
    }

    /**
     * Runs a task on the loop once, after a delay.
     *
     * @param delayMillis milliseconds, rounded up to whole nanoseconds; no delay if it is negative
     * @return the timer, which can be cancelled
     */
    Future<?> schedule(double delayMillis, Runnable task) {
        long delayNanos = (long) Math.ceil(Math.max(0, delayMillis) * NANOS_PER_MILLI);
        double due = clock.now() + Math.max(0, delayMillis);
        return loop.schedule(
                () -> {
                    lateness.recordRun(due);
                    task.run();
                },
                delayNanos,
                TimeUnit.NANOSECONDS);
    }
}
