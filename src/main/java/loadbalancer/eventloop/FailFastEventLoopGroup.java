package loadbalancer.eventloop;

import io.netty.channel.IoEventLoop;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadFactory;
import java.util.function.Consumer;

/** A group of one {@link FailFastEventLoop}. */
final class FailFastEventLoopGroup extends MultiThreadIoEventLoopGroup {
    /** A group whose loop reports to this consumer. */
    FailFastEventLoopGroup(IoHandlerFactory factory, Consumer<Throwable> onFatalError) {
        super(1, (Executor) null, factory, onFatalError);
    }

    // The thread keeps the name that on-call engineers know.
    @Override
    protected ThreadFactory newDefaultThreadFactory() {
        return new DefaultThreadFactory(MultiThreadIoEventLoopGroup.class, Thread.MAX_PRIORITY);
    }

    // Called by the constructor of the superclass, before a field could be set: hence the argument.
    @Override
    @SuppressWarnings("unchecked")
    protected IoEventLoop newChild(Executor executor, IoHandlerFactory factory, Object... arguments) {
        return new FailFastEventLoop(this, executor, factory, (Consumer<Throwable>) arguments[0]);
    }
}
