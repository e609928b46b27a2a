package loadbalancer.lifecycle;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loadbalancer.policy.Idempotency;
import loadbalancer.policy.RequestClass;
import loadbalancer.protocol.HeaderNames;
import loadbalancer.protocol.ProtocolLimits;

/**
 * The application of the {@link Warmup}: sends a fixed number of requests on one connection, one after the other and of
 * all classes in turn. The event loop's thread sends and counts them; other threads wait and read the result.
 */
final class WarmupClient extends ChannelInitializer<Channel> {
    private static final byte[] BODY = new byte[256];

    private final List<RequestClass> classes;
    private final int requests;
    private final CountDownLatch completed = new CountDownLatch(1);
    private int remaining;
    private volatile int served;

    /**
     * Makes a client that begins once its channel is connected.
     *
     * @param classes the classes of the requests
     * @param requests how many requests to send
     */
    WarmupClient(List<RequestClass> classes, int requests) {
        this.classes = classes;
        this.requests = requests;
        this.remaining = requests;
    }

    /** Waits until the last response has come; returns false if it has not within this many milliseconds. */
    boolean awaitCompletion(long maxWaitMillis) throws InterruptedException {
        return completed.await(maxWaitMillis, TimeUnit.MILLISECONDS);
    }

    /** Sends no further request. To be called on the event loop. */
    void stop() {
        remaining = 0;
    }

    /** Returns the number of the last request that was served, or 0 if none was. */
    int served() {
        return served;
    }

    @Override
    protected void initChannel(Channel channel) {
        channel.pipeline()
                .addLast(
                        new HttpClientCodec(),
                        new HttpObjectAggregator(ProtocolLimits.MAX_BODY_BYTES),
                        new ResponseHandler());
    }

    private void sendNext(ChannelHandlerContext context) {
        if (remaining-- <= 0) {
            completed.countDown();
            return;
        }
        RequestClass requestClass = classes.get(remaining % classes.size());
        boolean idempotent = requestClass.idempotency() == Idempotency.IDEMPOTENT;
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                idempotent ? HttpMethod.GET : HttpMethod.POST,
                "/api?obj=warm",
                Unpooled.wrappedBuffer(BODY, 0, idempotent ? 0 : BODY.length));
        request.headers()
                .set(HeaderNames.REQUEST_ID, "warm" + remaining)
                .set(HeaderNames.REQUEST_CLASS, requestClass.name())
                .set(HeaderNames.IDEMPOTENCY_KEY, "warm")
                .set(HeaderNames.REQUEST_TIMEOUT, "5.000")
                .set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
        context.writeAndFlush(request);
    }

    private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        public void channelActive(ChannelHandlerContext context) {
            sendNext(context);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (response.status().equals(HttpResponseStatus.OK)) {
                served = requests - remaining;
            }
            sendNext(context);
        }
    }
}
