package loadbalancer.eventloop;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Puts off a task until the loop has selected its sockets anew. Guards against a turn that comes late: a client that
 * has left, a connection that an endpoint has closed or a request that waits unread would be known only after the act.
 */
public final class SelectBarrier {
    private SelectBarrier() {}

    /** Runs this right behind the first select that begins after the present turn. */
    public static void runAfterSelect(EventLoop loop, Runnable task) {
        // The timer is set behind what this turn's sockets brought, and timers run only behind the next select.
        loop.execute(() -> loop.schedule(task, 0, TimeUnit.NANOSECONDS));
    }
}
