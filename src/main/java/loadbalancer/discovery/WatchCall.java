package loadbalancer.discovery;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.NetUtil;
import java.net.InetSocketAddress;
import loadbalancer.eventloop.Clock;
import loadbalancer.eventloop.FailFastEventLoop;
import loadbalancer.eventloop.LastRead;
import loadbalancer.eventloop.SelectBarrier;
import loadbalancer.protocol.LimitedHeadersFactory;

/**
 * One watch request to the discovery service and its streamed response. Runs on the event loop; a call that has been
 * closed notifies its listener of nothing.
 */
final class WatchCall extends SimpleChannelInboundHandler<HttpObject> {
    /** Is notified of what a call receives, and of its end. */
    interface Listener {
        /**
         * A complete object was received.
         *
         * @throws EndpointListException if it is no endpoint list that can be used
         */
        void objectReceived(WatchCall call, JsonNode object) throws EndpointListException;

        /**
         * A line of an open watch ended, or empty lines came before the first object: they say that nothing has changed
         * since the list known to the call.
         *
         * @param emptyLines how many of the lines that ended are empty
         */
        void linesEnded(WatchCall call, int emptyLines);

        /** The response is malformed; {@link #callFailed} follows. */
        void malformedListReceived(EndpointListException cause);

        /** The call failed to connect, was rejected, or its response ended. */
        void callFailed(WatchCall call, CallEnd end);
    }

    private static final String PATH = "/registry/instances";
    /** A service that goes on writing does not keep a call open. */
    private static final int MAX_PASSES_BEFORE_CLOSE = 100;

    private final InetSocketAddress address;
    private final Long knownVersion;
    private final Clock clock;
    private final EndpointListDecoder decoder;
    private final Listener listener;
    private final CallState state;
    private Channel channel;
    private boolean closed;
    /** How often the socket has been read, in passes of several reads. */
    private long readPasses;
    /** True if the last pass may have left bytes unread that had come. */
    private boolean passCutShort;

    /** A call that is not connected. {@code knownVersion} is the version to receive changes of, or null for all. */
    WatchCall(
            InetSocketAddress address,
            Long knownVersion,
            CallState state,
            Clock clock,
            EndpointListDecoder decoder,
            Listener listener) {
        this.address = address;
        this.knownVersion = knownVersion;
        this.state = state;
        this.clock = clock;
        this.decoder = decoder;
        this.listener = listener;
    }

    /** Connects, and sends the request once connected. */
    void connect(Bootstrap bootstrap) {
        ChannelFuture connecting = bootstrap
                .clone()
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel newChannel) {
                        newChannel
                                .pipeline()
                                .addLast(
                                        new HttpClientCodec(
                                                LimitedHeadersFactory.decoderConfig(),
                                                HttpClientCodec.DEFAULT_PARSE_HTTP_AFTER_CONNECT_REQUEST,
                                                HttpClientCodec.DEFAULT_FAIL_ON_MISSING_RESPONSE),
                                        WatchCall.this);
                    }
                })
                .connect(address);
        channel = connecting.channel();
        connecting.addListener(connected -> {
            // Without a file descriptor the channel is never registered, and another thread completes the future.
            if (!connected.isSuccess()) {
                bootstrap.config().group().execute(() -> fail(CallEnd.NOT_CONNECTED));
            }
        });
    }

    CallState state() {
        return state;
    }

    /** Returns the version that it asked for changes of, or null if for all. */
    Long knownVersion() {
        return knownVersion;
    }

    InetSocketAddress address() {
        return address;
    }

    /** Closes the connection once what has come by now is read, which may take several turns of this loop. */
    void closeOnceRead(EventLoop loop) {
        closeOnceRead(loop, MAX_PASSES_BEFORE_CLOSE);
    }

    private void closeOnceRead(EventLoop loop, int maxPasses) {
        long passesBefore = readPasses;
        SelectBarrier.runAfterSelect(loop, () -> {
            boolean leftUnread = readPasses > passesBefore && passCutShort;
            if (leftUnread && maxPasses > 1) {
                closeOnceRead(loop, maxPasses - 1);
            } else {
                close();
            }
        });
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        readPasses++;
        passCutShort = !LastRead.drained(ctx.channel());
        ctx.fireChannelReadComplete();
    }

    /** Closes the connection. */
    void close() {
        closed = true;
        // Without a file descriptor the channel was never registered, and closing it would throw.
        if (channel.isRegistered()) {
            channel.close();
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        state.markConnected(clock.now());
        String uri = PATH + "?watch=1" + (knownVersion == null ? "" : "&after=" + knownVersion);
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri);
        request.headers().set(HttpHeaderNames.HOST, NetUtil.toSocketAddressString(address));
        ctx.writeAndFlush(request);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        if (closed) {
            return;
        }
        if (message.decoderResult().isFailure()) {
            fail(CallEnd.MALFORMED);
            return;
        }
        if (rejected(message)) {
            fail(CallEnd.REJECTED);
            return;
        }
        if (message instanceof HttpContent content) {
            receive(content);
        }
        if (message instanceof LastHttpContent) {
            fail(CallEnd.CLOSED);
        }
    }

    private static boolean rejected(HttpObject message) {
        return message instanceof HttpResponse response && !response.status().equals(HttpResponseStatus.OK);
    }

    // A head alone is no part of a list: where nothing has changed, the first line comes seconds after it.
    private void receive(HttpContent content) {
        if (content.content().isReadable()) {
            state.markBytesReceived(clock.now());
        }
        decode(content);
    }

    private void decode(HttpContent content) {
        try {
            linesEnded(decoder.decode(content.content(), this::objectDecoded));
        } catch (EndpointListException e) {
            if (!closed) {
                listener.malformedListReceived(e);
            }
            fail(CallEnd.MALFORMED);
        }
    }

    // The listener may close the call when it receives one of several objects.
    private void objectDecoded(JsonNode object) throws EndpointListException {
        if (!closed) {
            listener.objectReceived(this, object);
        }
    }

    private void linesEnded(int emptyLines) {
        boolean answers = knownVersion != null && emptyLines > 0;
        if (!closed && emptyLines != EndpointListDecoder.NO_LINE_END && (state.watching() || answers)) {
            listener.linesEnded(this, emptyLines);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        decoder.release();
        fail(CallEnd.CLOSED);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        FailFastEventLoop.reportIfError(ctx.executor(), cause);
        ctx.close();
    }

    private void fail(CallEnd end) {
        if (!closed) {
            listener.callFailed(this, end);
        }
    }
}
