package loadbalancer.eventloop;

import io.netty.channel.EventLoop;
import java.util.function.Consumer;

/** Makes event loops. */
public final class EventLoops {
    private EventLoops() {}

    /**
     * Makes a loop with a thread of its own, whose waits end on whole milliseconds. Its errors are reported to nobody.
     *
     * @param activity the counters that the loop updates; they are for this loop alone
     */
    public static EventLoop newEventLoop(LoopActivity activity) {
        return newEventLoop(activity, cause -> {});
    }

    /**
     * Makes a loop with a thread of its own, whose waits end on whole milliseconds.
     *
     * @param activity the counters that the loop updates; they are for this loop alone
     * @param onFatalError is told each {@link Error} of a timer or handler, and what ended the loop, on its thread
     */
    public static EventLoop newEventLoop(LoopActivity activity, Consumer<Throwable> onFatalError) {
        return new FailFastEventLoopGroup(CoarseTimerIoHandler.newFactory(activity), onFatalError).next();
    }
}
