package loadbalancer.testing;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.DefaultChannelPipeline;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.SocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A socket whose connection comes up only when the test lets it: the latch before a connect. */
public final class LateSocket extends NioSocketChannel {
    private static final BlockingQueue<Runnable> PENDING = new LinkedBlockingQueue<>();

    /** Forgets connections that an earlier test has begun. */
    public static void forget() {
        PENDING.clear();
    }

    /** Waits until a connection has been begun; what it returns lets that one go on. */
    public static Runnable awaitConnect() throws InterruptedException {
        Runnable go = PENDING.poll(FakeServer.TIMEOUT_SECONDS, TimeUnit.SECONDS);
        if (go == null) {
            throw new AssertionError("no connection was begun");
        }
        return go;
    }

    /** How many connections have been begun and not yet let go on. */
    public static int waiting() {
        return PENDING.size();
    }

    @Override
    protected DefaultChannelPipeline newChannelPipeline() {
        DefaultChannelPipeline pipeline = super.newChannelPipeline();
        pipeline.addLast(new ChannelOutboundHandlerAdapter() {
            @Override
            public void connect(
                    ChannelHandlerContext ctx, SocketAddress remote, SocketAddress local, ChannelPromise promise) {
                PENDING.add(() -> ctx.executor().execute(() -> ctx.connect(remote, local, promise)));
            }
        });
        return pipeline;
    }
}
