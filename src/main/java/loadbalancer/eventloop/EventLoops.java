package loadbalancer.eventloop;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;

/** Makes event loops. */
public final class EventLoops {
    private EventLoops() {}

    /** A loop with a thread of its own, which counts what it does in this activity. */
    public static EventLoop newEventLoop(LoopActivity activity) {
        return new MultiThreadIoEventLoopGroup(1, CoarseTimerIoHandler.newFactory(activity)).next();
    }
}
