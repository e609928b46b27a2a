package loadbalancer.downstream;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import loadbalancer.eventloop.Clock;
import loadbalancer.eventloop.FailFastEventLoop;

/** The listening socket, which accepts connections from the application. */
final class ClientListener {
    /** Netty's own default, where fewer connections than that are allowed. */
    private static final int MIN_ACCEPTS_PER_TURN = 16;

    private static final long ACCEPT_RETRY_MILLIS = 200;

    private final EventLoop loop;
    private final Clock clock;
    private final int maxConnections;
    private final ServerContext server;
    private Channel channel;

    /** A listener that does not listen yet, for connections of this server. */
    ClientListener(EventLoop loop, Clock clock, int maxConnections, ServerContext server) {
        this.loop = loop;
        this.clock = clock;
        this.maxConnections = maxConnections;
        this.server = server;
    }

    /** Listens on this address. */
    ChannelFuture listen(SocketAddress address) {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel listening) {
                        // Set here, on the loop, and so before the first connection.
                        channel = listening;
                        listening.pipeline().addLast(new AcceptFailureHandler());
                    }
                })
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel accepted) {
                        new ClientConnection(server, clock).addTo(accepted.pipeline());
                    }
                })
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, new FairReadAllocator(loop, server.readAllowance()))
                // Accepts until none waits: a connection that waits when the listener closes is reset.
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new ServerChannelRecvByteBufAllocator()
                                .maxMessagesPerRead(Math.max(MIN_ACCEPTS_PER_TURN, maxConnections)))
                .bind(address);
    }

    /** Stops listening. */
    void close() {
        channel.close();
    }

    /**
     * Pauses after a failed accept. With no descriptor left, an immediate retry would spin, and the log line in which
     * Netty ends such a failure opens files of its own, which would end the loop and the process.
     */
    private static final class AcceptFailureHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            FailFastEventLoop.reportIfError(ctx.executor(), cause);
            ChannelConfig config = ctx.channel().config();
            config.setAutoRead(false);
            ctx.executor().schedule(() -> config.setAutoRead(true), ACCEPT_RETRY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }
}
