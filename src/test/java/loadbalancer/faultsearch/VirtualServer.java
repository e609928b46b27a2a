package loadbalancer.faultsearch;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.local.LocalServerChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;

/** A server in virtual time that hands over each request's text without a body. */
final class VirtualServer {
    /** One connection of a client. */
    static final class Connection {
        private final Channel channel;

        private Connection(Channel channel) {
            this.channel = channel;
        }

        /** Writes text, which the client has read at once; nothing if it has closed the connection. */
        void write(String text) {
            if (channel.isActive()) {
                channel.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
            }
        }

        void close() {
            channel.close();
        }

        boolean open() {
            return channel.isActive();
        }
    }

    /** Receives what happens on the connections. */
    interface Listener {
        void requested(Connection connection, String request);

        default void closed(Connection connection) {}
    }

    private static final String HEAD_END = "\r\n\r\n";

    private VirtualServer() {}

    /** Listens at this address. */
    static void listen(VirtualLoop loop, InetSocketAddress address, Listener listener) {
        new ServerBootstrap()
                .group(loop)
                .channel(LocalServerChannel.class)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new RequestHandler(new Connection(channel), listener));
                    }
                })
                .bind(loop.address(address));
    }

    private static final class RequestHandler extends SimpleChannelInboundHandler<ByteBuf> {
        private final Connection connection;
        private final Listener listener;
        private final StringBuilder received = new StringBuilder();

        RequestHandler(Connection connection, Listener listener) {
            this.connection = connection;
            this.listener = listener;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf bytes) {
            received.append(bytes.toString(StandardCharsets.ISO_8859_1));
            int end = received.indexOf(HEAD_END);
            if (end >= 0) {
                String request = received.substring(0, end);
                received.setLength(0);
                listener.requested(connection, request);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            listener.closed(connection);
        }
    }
}
