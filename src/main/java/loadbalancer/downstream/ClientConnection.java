package loadbalancer.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerExpectContinueHandler;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import loadbalancer.eventloop.Clock;
import loadbalancer.eventloop.FailFastEventLoop;
import loadbalancer.eventloop.LastRead;
import loadbalancer.eventloop.SelectBarrier;
import loadbalancer.memory.MemoryHolding;
import loadbalancer.memory.MemoryLimitException;
import loadbalancer.memory.MemoryUse;
import loadbalancer.protocol.LimitedHeadersFactory;
import loadbalancer.proxy.ClientRequest;
import loadbalancer.proxy.PendingRequest;
import loadbalancer.proxy.ResponseListener;
import loadbalancer.upstream.UpstreamResponse;

/**
 * One connection from the application and the one request that it may carry at a time. An invalid request is
 * answered as soon as its head shows that, and closes the connection, since it is not known where the next request
 * would begin.
 */
final class ClientConnection extends SimpleChannelInboundHandler<HttpObject> implements ResponseListener {
    /** Time for a client that still sends to read its last response before the connection is reset. */
    private static final long LINGER_MILLIS = 300;

    private final ServerContext server;
    private final Clock clock;
    private final ReadBacklog backlog = new ReadBacklog();
    private final ConnectionStateMachine machine;
    private final IncomingRequest request;
    private final ClientRequestDecoder decoder;
    private final MemoryHolding bufferMemory;
    private final MemoryHolding responseMemory;
    private Channel channel;
    private PendingRequest pending;
    /** When the last byte of the request may have come at the earliest. */
    private double arrivedMillis;
    /** True once the connection has been ended for what its client sent, or did not send in time. */
    private boolean requestInvalid;

    /** A connection of this server, not yet in a pipeline. */
    ClientConnection(ServerContext server, Clock clock) {
        this.server = server;
        this.clock = clock;
        this.machine = new ConnectionStateMachine(clock);
        this.request = new IncomingRequest(server.memory());
        this.decoder = new ClientRequestDecoder(request);
        this.bufferMemory = server.memory().newHolding(MemoryUse.LINE_BUFFERS);
        this.responseMemory = server.memory().newHolding(MemoryUse.CLIENT_RESPONSES);
    }

    /** Sees bytes before they are decoded, also those that never make a request. */
    private final class InboundBytesHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (!state().isBusy()) {
                machine.enter(ConnectionState.READING_REQUEST);
            }
            if (isReading()) {
                ctx.fireChannelRead(message);
                accountForBuffer();
                return;
            }
            ((ByteBuf) message).release();
            // One request at a time: bytes received before its response leave it unclear what the client wants.
            if (state() == ConnectionState.AWAITING_RESPONSE) {
                reject(HttpResponseStatus.BAD_REQUEST);
            } else if (state() == ConnectionState.WRITING_RESPONSE) {
                // The response is still written completely; then the connection is closed.
                stopReading();
            }
        }
    }

    private void accountForBuffer() {
        if (!bufferMemory.tryResize(decoder.bufferedBytes()) && isReading()) {
            refuseForMemory();
        }
    }

    /** Sets up the pipeline of a connection just accepted. */
    void addTo(ChannelPipeline pipeline) {
        pipeline.addLast(
                new InboundBytesHandler(),
                decoder,
                new HttpResponseEncoder(),
                new HttpServerExpectContinueHandler(),
                this);
    }

    ConnectionState state() {
        return machine.state();
    }

    /** The time from which the timeout of its state counts, in milliseconds of the clock. */
    double sinceMillis() {
        return machine.sinceMillis();
    }

    /** Closes it at once. It is reported as closed at once too, since the channel does so only in a later turn. */
    void close() {
        machine.enter(ConnectionState.CLOSING);
        channel.close();
        server.connectionClosed(this);
    }

    /** Answers that no complete request was received in time. */
    void requestTimedOut() {
        reject(HttpResponseStatus.REQUEST_TIMEOUT);
    }

    /**
     * True if the rest of a request has waited unread for as long as its client waits: it may have been sent in time,
     * and is owed its answer by now.
     */
    boolean waitedUnreadTooLong() {
        double nowMillis = clock.now();
        return state() == ConnectionState.READING_REQUEST
                && request.clientRequest() != null
                && nowMillis - backlog.earliestArrivalMillis(nowMillis)
                        >= request.clientRequest().timeoutMillis();
    }

    /** Refuses a request that could not be read in time; nothing of it was forwarded. */
    void refuseUnread() {
        reject(HttpResponseStatus.SERVICE_UNAVAILABLE);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        channel = ctx.channel();
        machine.start();
        server.connectionOpened(this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        machine.enter(ConnectionState.CLOSING);
        abandonPendingRequest();
        request.clear();
        bufferMemory.release();
        responseMemory.release();
        server.connectionClosed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        FailFastEventLoop.reportIfError(ctx.executor(), cause);
        ctx.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        server.readAllowance().recordPart();
        if (!isReading()) {
            return;
        }
        Throwable failure = message.decoderResult().cause();
        if (failure instanceof LimitedHeadersFactory.TooManyFieldsException) {
            reject(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE);
            return;
        }
        if (failure instanceof MemoryLimitException) {
            refuseForMemory();
            return;
        }
        if (state() == ConnectionState.REQUEST_COMPLETE || failure != null || decoder.framingExceeded()) {
            reject(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        try {
            read(message);
        } catch (RejectedRequestException e) {
            if (e.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
                refuseForMemory();
            } else {
                reject(e.status());
            }
        }
    }

    // Nothing of the request was forwarded, so that the client may try again. The slowest sender makes room for others.
    private void refuseForMemory() {
        reject(HttpResponseStatus.SERVICE_UNAVAILABLE);
        server.memoryRefused();
    }

    private void read(HttpObject message) throws RejectedRequestException {
        if (message instanceof HttpRequest head) {
            request.begin(head, server.validator());
        }
        if (message instanceof HttpContent part) {
            request.append(part.content());
            if (part instanceof LastHttpContent) {
                arrivedMillis = backlog.earliestArrivalMillis(clock.now());
                machine.enter(ConnectionState.REQUEST_COMPLETE);
            }
        }
    }

    private boolean isReading() {
        return state() == ConnectionState.READING_REQUEST || state() == ConnectionState.REQUEST_COMPLETE;
    }

    // Whether more follows the request is known only once all bytes of this pass have been decoded. The end of the
    // connection is found after this: a request of a client that has left by then is not forwarded. A pass that was cut
    // short may have left the end unread, or more of the request, which the next one finds, right after the next
    // select.
    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        boolean drained = LastRead.drained(channel);
        backlog.passEnded(clock.now(), drained);
        if (isReading() && decoder.framingExceeded()) {
            reject(HttpResponseStatus.BAD_REQUEST);
        }
        boolean complete = state() == ConnectionState.REQUEST_COMPLETE;
        if (complete && LastRead.foundNothing(channel)) {
            ctx.executor().execute(this::handleRequest);
        } else if (complete || isReading() && !drained) {
            long cutPass = backlog.passes();
            SelectBarrier.runAfterSelect(channel.eventLoop(), () -> handleAfterCutPass(cutPass));
        }
    }

    // A pass since then has brought more, and has seen to the request itself. Without one, nothing was left unread.
    private void handleAfterCutPass(long cutPass) {
        if (backlog.passes() == cutPass) {
            backlog.nothingLeft();
            handleRequest();
        }
    }

    private void handleRequest() {
        if (state() != ConnectionState.REQUEST_COMPLETE || !channel.isActive()) {
            return;
        }
        if (decoder.hasMoreThanOneRequest()) {
            reject(HttpResponseStatus.BAD_REQUEST);
        } else if (request.isReadinessCheck()) {
            answerReadinessCheck();
        } else {
            dispatch(request.clientRequest());
        }
    }

    private void answerReadinessCheck() {
        if (!request.method().equals(HttpMethod.GET)) {
            reject(HttpResponseStatus.METHOD_NOT_ALLOWED);
        } else {
            respond(ClientResponses.withStatus(
                    server.isReady() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE));
        }
    }

    private void dispatch(ClientRequest clientRequest) {
        // The same id may not run twice: not while it is pending, nor after an attempt that may have been executed.
        if (server.dispatcher().isInUse(clientRequest.id())) {
            reject(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        machine.enter(ConnectionState.AWAITING_RESPONSE);
        double waitedMillis = clock.now() - arrivedMillis;
        // A request that is complete only now would not be failed any more before the process is killed. One that has
        // waited unread for the whole of its time is owed its answer by now.
        if (server.isPastShutdownDeadline() || waitedMillis >= clientRequest.timeoutMillis()) {
            rejected(0);
            return;
        }
        PendingRequest admitted = server.dispatcher().admit(clientRequest, request.takeBody(), waitedMillis, this);
        // The response may have been written already.
        if (state() == ConnectionState.AWAITING_RESPONSE) {
            pending = admitted;
        }
    }

    private void abandonPendingRequest() {
        PendingRequest abandoned = pending;
        pending = null;
        if (abandoned != null) {
            abandoned.clientDisconnected();
        }
    }

    @Override
    public void succeeded(UpstreamResponse response) {
        responseMemory.resize(response.body().length);
        respond(ClientResponses.success(response));
    }

    @Override
    public void rejected(double retryAfterMillis) {
        respond(ClientResponses.rejection(retryAfterMillis));
    }

    @Override
    public void failed() {
        respond(ClientResponses.withStatus(HttpResponseStatus.BAD_GATEWAY));
    }

    private void reject(HttpResponseStatus status) {
        // Before the pending request is abandoned: whatever that causes must not answer here.
        machine.enter(ConnectionState.CLOSING);
        requestInvalid = true;
        request.dropBody();
        abandonPendingRequest();
        respondAndClose(ClientResponses.withStatus(status));
    }

    private void respond(FullHttpResponse response) {
        pending = null;
        if (!request.isKeepAlive() || server.isShuttingDown()) {
            respondAndClose(response);
            return;
        }
        machine.enter(ConnectionState.WRITING_RESPONSE);
        channel.writeAndFlush(response).addListener(written -> {
            if (state() == ConnectionState.WRITING_RESPONSE) {
                awaitNextRequest();
            } else {
                closeOutput(written);
            }
        });
    }

    private void awaitNextRequest() {
        request.clear();
        responseMemory.release();
        decoder.requestAnswered();
        machine.enter(ConnectionState.IDLE);
        if (server.isShuttingDown()) {
            close();
        }
    }

    private void respondAndClose(FullHttpResponse response) {
        HttpUtil.setKeepAlive(response, false);
        stopReading();
        channel.writeAndFlush(response).addListener(this::closeOutput);
    }

    // A huge body is not read on, and no request is read that nobody would answer. What the client still sends stays
    // unread until it has had time to read the response, which a reset of the connection would take away.
    private void stopReading() {
        machine.enter(ConnectionState.CLOSING);
        decoder.discardRest();
        channel.config().setAutoRead(false);
    }

    private void closeOutput(Future<?> written) {
        FailFastEventLoop.reportIfError(channel.eventLoop(), written.cause());
        if (written.isSuccess() && channel instanceof DuplexChannel duplex) {
            duplex.shutdownOutput();
            if (requestInvalid) {
                machine.enter(ConnectionState.LINGERING);
            }
            channel.eventLoop().schedule(this::close, LINGER_MILLIS, TimeUnit.MILLISECONDS);
        } else {
            channel.close();
        }
    }
}
