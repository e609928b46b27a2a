package loadbalancer.eventloop;

import io.netty.channel.IoEventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * An event loop that reports each {@link Error} of its timers, and its own end. Netty keeps an Error of a timer in a
 * future that nobody reads, and a loop that has ended takes its process's only serving thread with it.
 */
public final class FailFastEventLoop extends SingleThreadIoEventLoop {
    private final Consumer<Throwable> onFatalError;

    /**
     * Makes a loop of this group, whose thread starts with its first task.
     *
     * @param onFatalError is told what an Error was, or what ended the loop
     */
    FailFastEventLoop(
            IoEventLoopGroup group, Executor executor, IoHandlerFactory factory, Consumer<Throwable> onFatalError) {
        super(group, executor, factory);
        this.onFatalError = onFatalError;
    }

    /** Reports a failure that a handler was notified of, if it is an {@link Error}. Allocates nothing. */
    public static void reportIfError(EventExecutor executor, Throwable cause) {
        if (cause instanceof Error && executor instanceof FailFastEventLoop loop) {
            loop.onFatalError.accept(cause);
        }
    }

    @Override
    protected void run() {
        try {
            super.run();
        } catch (Throwable cause) {
            onFatalError.accept(cause);
            throw cause;
        }
    }

    @Override
    public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
        return super.schedule(new ReportingTask(task), delay, unit);
    }

    @Override
    public ScheduledFuture<?> scheduleAtFixedRate(Runnable task, long initialDelay, long period, TimeUnit unit) {
        return super.scheduleAtFixedRate(new ReportingTask(task), initialDelay, period, unit);
    }

    @Override
    public ScheduledFuture<?> scheduleWithFixedDelay(Runnable task, long initialDelay, long delay, TimeUnit unit) {
        return super.scheduleWithFixedDelay(new ReportingTask(task), initialDelay, delay, unit);
    }

    /** A timer's task, whose Error is reported. */
    private final class ReportingTask implements Runnable {
        private final Runnable task;

        private ReportingTask(Runnable task) {
            this.task = task;
        }

        @Override
        public void run() {
            try {
                task.run();
            } catch (Error cause) {
                onFatalError.accept(cause);
                throw cause;
            }
        }
    }
}
