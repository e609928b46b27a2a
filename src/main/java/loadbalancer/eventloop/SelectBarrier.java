package loadbalancer.eventloop;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Defers a task until the event loop has selected its sockets again. In a turn that runs late, the loop does not know
 * yet of a client that has disconnected, a connection that an endpoint has closed or a request that waits to be read.
 */
public final class SelectBarrier {
    private SelectBarrier() {}

    /** Runs the task right after the first select that begins after the present turn. */
    public static void runAfterSelect(EventLoop loop, Runnable task) {
        // The timer is set after this turn's socket events were handled, and timers run only after the next select.
        loop.execute(() -> loop.schedule(task, 0, TimeUnit.NANOSECONDS));
    }
}
