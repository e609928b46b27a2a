package loadbalancer.eventloop;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.ThreadAwareExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Netty's NIO handler with waits rounded up to whole milliseconds, the resolution of a selector's wait.
 *
 * <p>{@link NioIoHandler} rounds to the nearest millisecond. With less than half a millisecond left to the next timer
 * it does not wait at all, and the loop polls its sockets repeatedly until the timer is due. Rounded up, a timer runs
 * up to a millisecond late, and the loop sleeps until then.
 */
final class CoarseTimerIoHandler implements IoHandler {
    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final IoHandler delegate;
    private final LoopActivity activity;
    private final RoundingContext rounding = new RoundingContext();

    private CoarseTimerIoHandler(IoHandler delegate, LoopActivity activity) {
        this.delegate = delegate;
        this.activity = activity;
    }

    /**
     * Makes a factory for the handler of one loop.
     *
     * @param activity the counters that the handler updates
     */
    static IoHandlerFactory newFactory(LoopActivity activity) {
        IoHandlerFactory nio = NioIoHandler.newFactory();
        // No lambda: each lambda linked at the start brings the JVM closer to generating further classes for them.
        return new IoHandlerFactory() {
            @Override
            public IoHandler newHandler(ThreadAwareExecutor executor) {
                return new CoarseTimerIoHandler(nio.newHandler(executor), activity);
            }
        };
    }

    /** Returns the delay in nanoseconds, rounded up to whole milliseconds; zero and below are unchanged. */
    static long roundUp(long delayNanos) {
        if (delayNanos <= 0 || delayNanos > Long.MAX_VALUE - NANOS_PER_MILLI) {
            return delayNanos;
        }
        return (delayNanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI * NANOS_PER_MILLI;
    }

    @Override
    public int run(IoHandlerContext context) {
        rounding.context = context;
        int readySockets = delegate.run(rounding);
        activity.recordTurn(readySockets);
        return readySockets;
    }

    @Override
    public void initialize() {
        delegate.initialize();
    }

    @Override
    public void prepareToDestroy() {
        delegate.prepareToDestroy();
    }

    @Override
    public void destroy() {
        delegate.destroy();
    }

    @Override
    public IoRegistration register(IoHandle handle) throws Exception {
        return delegate.register(handle);
    }

    @Override
    public void wakeup() {
        delegate.wakeup();
    }

    @Override
    public boolean isCompatible(Class<? extends IoHandle> handleType) {
        return delegate.isCompatible(handleType);
    }

    /** The context of the loop's present turn, with the delay to the next timer rounded up. */
    private static final class RoundingContext implements IoHandlerContext {
        private IoHandlerContext context;

        @Override
        public boolean canBlock() {
            return context.canBlock();
        }

        @Override
        public long delayNanos(long currentTimeNanos) {
            return roundUp(context.delayNanos(currentTimeNanos));
        }

        @Override
        public long deadlineNanos() {
            return context.deadlineNanos();
        }

        @Override
        public void reportActiveIoTime(long activeNanos) {
            context.reportActiveIoTime(activeNanos);
        }

        @Override
        public boolean shouldReportActiveIoTime() {
            return context.shouldReportActiveIoTime();
        }
    }
}
