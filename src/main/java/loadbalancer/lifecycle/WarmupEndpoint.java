package loadbalancer.lifecycle;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import loadbalancer.protocol.HeaderNames;
import loadbalancer.protocol.ProtocolLimits;

/** The endpoint of the {@link Warmup}: answers each request with a small body and a load report. */
final class WarmupEndpoint extends ChannelInitializer<Channel> {
    private static final byte[] BODY = new byte[256];
    private static final String LOAD_REPORT = "util=0.5,qps=10.5,eps=0";

    @Override
    protected void initChannel(Channel channel) {
        channel.pipeline()
                .addLast(
                        new HttpServerCodec(),
                        new HttpObjectAggregator(ProtocolLimits.MAX_BODY_BYTES),
                        new RequestHandler());
    }

    private static final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(BODY));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, BODY.length)
                    .set(HeaderNames.SERVER_LOAD, LOAD_REPORT);
            context.writeAndFlush(response);
        }
    }
}
