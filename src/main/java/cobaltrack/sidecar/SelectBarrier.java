package cobaltrack.sidecar;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;

/**
 * Runs a task once the loop has looked at all sockets anew. Guards against a turn that comes late: what its
 * sockets were asked for is old by then, and a client that has left, a connection that an endpoint has closed or
 * a request that waits unread would be known only after the act.
 */
final class FreshLook {
    private FreshLook() { }

    /** Has this run right behind the next look at the sockets that begins after the present turn. */
    static void before(EventLoop loop, Runnable task) {
        // The timer is set behind what this turn's sockets brought, and timers run only behind the next look.
        loop.execute(() -> loop.schedule(task, 0, TimeUnit.NANOSECONDS));
    }
}
