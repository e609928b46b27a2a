package loadbalancer.eventloop;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;

/** Makes event loops. */
public final class EventLoops {
    private EventLoops() {}

    /**
     * Makes a loop with a thread of its own, whose waits end on whole milliseconds.
     *
     * @param activity the counters that the loop updates; they are for this loop alone
     */
    public static EventLoop newEventLoop(LoopActivity activity) {
        return new MultiThreadIoEventLoopGroup(1, CoarseTimerIoHandler.newFactory(activity)).next();
    }
}
