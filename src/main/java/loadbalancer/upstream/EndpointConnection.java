package loadbalancer.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import loadbalancer.eventloop.Clock;
import loadbalancer.eventloop.FailFastEventLoop;
import loadbalancer.eventloop.LastRead;
import loadbalancer.eventloop.SelectBarrier;
import loadbalancer.memory.MemoryBudget;
import loadbalancer.memory.MemoryHolding;
import loadbalancer.memory.MemoryLimitException;
import loadbalancer.memory.MemoryUse;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.protocol.BodyBuffer;
import loadbalancer.protocol.HeaderNames;

/**
 * One connection to an endpoint. It writes one request at a time and reads its response; a response that is malformed,
 * stalls or is followed by surplus bytes ends the connection. One that is followed by anything but a duplicate of
 * itself fails its attempt: its body may be cut off.
 *
 * <p>Between two exchanges a connection is quarantined, then idle. Any byte that comes then closes it and suspends the
 * reuse of all connections.
 */
final class EndpointConnection extends SimpleChannelInboundHandler<HttpObject> implements StallDetector.Listener {
    private final ConnectionReuse reuse;
    private final Clock clock;
    private final PooledEndpoint endpoint;
    private final StallDetector stallDetector;
    private final MemoryHolding headMemory;
    private final MemoryHolding bufferMemory;
    private final SurplusBytes surplus = new SurplusBytes();
    private final EndpointResponseDecoder decoder = new EndpointResponseDecoder(this::fieldAdded, surplus);
    private final ResponseAssembler response;
    private Channel channel;
    /** Null while no request is being processed on this connection. */
    private Exchange exchange;

    private boolean used;
    /** How often all that a turn allows has been read. */
    private long passes;
    /** A read returned end of stream, and no call on the socket had failed before. */
    private boolean streamEnded;

    private double idleSinceMillis;

    /** A connection to this endpoint that has no channel yet; its responses draw from this memory. */
    EndpointConnection(
            ConnectionReuse reuse, EventLoop loop, Clock clock, PooledEndpoint endpoint, MemoryBudget memory) {
        this.reuse = reuse;
        this.clock = clock;
        this.endpoint = endpoint;
        this.headMemory = memory.newHolding(MemoryUse.ENDPOINT_RESPONSES);
        this.bufferMemory = memory.newHolding(MemoryUse.ENDPOINT_RESPONSES);
        this.response = new ResponseAssembler(new BodyBuffer(memory.newHolding(MemoryUse.ENDPOINT_RESPONSES)));
        this.stallDetector = new StallDetector(loop, clock, this);
    }

    private void fieldAdded(int heapBytes) {
        if (!headMemory.tryGrow(heapBytes)) {
            throw new MemoryLimitException(MemoryUse.ENDPOINT_RESPONSES);
        }
    }

    /** Sets its channel, which may not be connected yet. */
    void setChannel(Channel connecting) {
        channel = connecting;
    }

    /** Adds its handlers to the pipeline of its channel. */
    void addTo(ChannelPipeline pipeline) {
        pipeline.addLast(new RawBytesHandler(), decoder, new HttpRequestEncoder(), this);
    }

    /** True while requests can be written. */
    boolean active() {
        return channel.isActive();
    }

    /** True once a request has been written, even in part. */
    boolean used() {
        return used;
    }

    /** When it last became idle, in milliseconds by the clock; 0 if it never was. */
    double idleSinceMillis() {
        return idleSinceMillis;
    }

    /** Closes the connection; an attempt on it ends as failed, unless it was aborted before. */
    void close() {
        channel.close();
    }

    /**
     * Stands before the decoder: it drops bytes that no request called for, which must not wait for the next request,
     * and sees the end of the stream before the decoder makes the end of a response of it.
     */
    private final class RawBytesHandler extends ChannelInboundHandlerAdapter {
        // Only a read that returned end of stream or failed causes this event. A failed read or write has closed the
        // channel before; a close of our own causes no such event.
        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof ChannelInputShutdownEvent) {
                streamEnded = channel.isActive();
            }
            ctx.fireUserEventTriggered(event);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (exchangeActive()) {
                exchange.recordRead(clock.now());
                ctx.fireChannelRead(message);
                accountForBuffer();
                return;
            }
            ((ByteBuf) message).release();
            if (exchange == null) {
                reuse.suspendReuse();
            }
            ctx.close();
        }
    }

    private void accountForBuffer() {
        if (!bufferMemory.tryResize(decoder.bufferedBytes())) {
            closeFailed();
        }
    }

    // False also for an exchange whose attempt was aborted, until its connection has closed.
    private boolean exchangeActive() {
        return exchange != null && !exchange.attempt().completed();
    }

    /**
     * Sends the request of this attempt, unless that is no longer wanted: while the connection was being established,
     * the attempt may have completed or the endpoint may have been retired.
     */
    void begin(EndpointAttempt attempt) {
        FullHttpRequest request = attempt.completed() ? null : attempt.request(!endpoint.retired());
        if (request != null) {
            write(attempt, request);
            return;
        }
        // Nothing was sent, so the connection is still new and the next request can use it.
        release();
        attempt.end(AttemptOutcome.CONNECT_FAILED);
    }

    private void write(EndpointAttempt attempt, FullHttpRequest request) {
        double idleMillis = idleSinceMillis > 0 ? clock.now() - idleSinceMillis : 0;
        exchange = new Exchange(attempt, idleMillis);
        used = true;
        attempt.writingTo(channel);
        response.reset();
        channel.writeAndFlush(request).addListener(write -> {
            if (write.isSuccess()) {
                attempt.markRequestWritten();
            } else {
                FailFastEventLoop.reportIfError(channel.eventLoop(), write.cause());
                closeFailed();
            }
        });
    }

    /** Makes the connection idle for the next request, or closes it if it must not be used again. */
    void release() {
        if (channel.isActive() && !endpoint.retired() && (reuse.reuseAllowed() || !used)) {
            idleSinceMillis = clock.now();
            endpoint.addIdle(this);
        } else {
            channel.close();
        }
    }

    private void closeFailed() {
        channel.close();
        failExchange();
    }

    // A failure before the last byte was written proves that nothing was executed, a later one proves nothing.
    private void failExchange() {
        if (exchange == null) {
            return;
        }
        dropResponse();
        Exchange failed = exchange;
        EndpointAttempt attempt = failed.attempt();
        exchange = null;
        if (!attempt.completed() && !failed.bytesReceived()) {
            endpoint.recordClosedAfterIdle(failed.idleMillisBefore());
        }
        attempt.end(attempt.requestWritten() ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        if (exchange == null) {
            return;
        }
        // The end of the pass decides what becomes of response and connection.
        if (exchange.responseComplete()) {
            surplus.decoded(message);
            return;
        }
        // An endpoint that ends the stream before it has received the complete request doesn't answer that request.
        boolean endedInOrder = streamEnded && exchange.attempt().requestWritten();
        ResponseAssembler.State state = response.add(message, endedInOrder);
        if (state == ResponseAssembler.State.MALFORMED || decoder.framingExceeded()) {
            closeFailed();
            return;
        }
        if (state == ResponseAssembler.State.COMPLETE) {
            exchange.markResponseComplete();
            surplus.expectAfter(response.head());
        }
        if (message instanceof LastHttpContent) {
            decoder.responseEnded();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        passes++;
        if (!exchangeActive()) {
            return;
        }
        if (decoder.framingExceeded()) {
            closeFailed();
        } else if (exchange.responseComplete()) {
            responseComplete();
        } else if (decoder.hasPartialResponse()) {
            stallDetector.watch(exchange);
        }
    }

    // What follows a response is known only once all bytes that have come are read. A pass that was cut short may have
    // left some unread, which the next one finds, right after the next select.
    private void responseComplete() {
        if (LastRead.drained(channel)) {
            completeExchange();
            return;
        }
        long cutPass = passes;
        SelectBarrier.runAfterSelect(channel.eventLoop(), () -> {
            if (passes == cutPass && exchangeActive()) {
                completeExchange();
            }
        });
    }

    @Override
    public void responseStalled() {
        closeFailed();
    }

    // An idle connection holds nothing of the responses that it has carried.
    private void dropResponse() {
        response.reset();
        surplus.reset();
        headMemory.release();
    }

    private void completeExchange() {
        Exchange completed = exchange;
        exchange = null;
        stallDetector.stop();
        if (allowsReuse(completed)) {
            reuse.quarantine(this);
        } else {
            channel.close();
        }
        HttpResponse head = response.head();
        HttpHeaders headers = head.headers();
        AttemptOutcome outcome = surplus.mayBelongToBody() ? AttemptOutcome.ERROR : ResponseClassifier.classify(head);
        UpstreamResponse success = outcome == AttemptOutcome.SUCCESS
                ? new UpstreamResponse(response.takeBody(), headers.get(HttpHeaderNames.CONTENT_TYPE))
                : null;
        dropResponse();
        completed.attempt().end(outcome, success, LoadReportParser.parse(headers.getAll(HeaderNames.SERVER_LOAD)));
    }

    private boolean allowsReuse(Exchange completed) {
        return completed.attempt().requestWritten()
                && response.allowsReuse()
                && !surplus.received()
                && !decoder.hasPartialResponse();
    }

    // The decoder has seen the end of the stream before: nothing more will come, complete or not.
    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            ctx.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        endpoint.removeIdle(this);
        failExchange();
        dropResponse();
        bufferMemory.release();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        FailFastEventLoop.reportIfError(ctx.executor(), cause);
        ctx.close();
    }
}
