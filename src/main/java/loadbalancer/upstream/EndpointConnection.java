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
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import loadbalancer.eventloop.Clock;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.protocol.HeaderNames;

/**
 * One connection to an endpoint and the attempt on it, if any. It writes one request at a time, reads its answer and
 * judges what came: an answer that is spoilt, stalls or is followed by more ends the connection.
 */
final class EndpointConnection extends SimpleChannelInboundHandler<HttpObject> {
    /** An answer that has begun and brings nothing for so long will not end. */
    private static final double STALL_MS = 500;

    private final EndpointPool pool;
    private final EventLoop loop;
    private final Clock clock;
    private final PooledEndpoint endpoint;
    private final EndpointResponseDecoder decoder = new EndpointResponseDecoder();
    private final ResponseAssembler response = new ResponseAssembler();
    private Channel channel;
    private EndpointAttempt attempt;
    private boolean used;
    private boolean written;
    private boolean whole;
    private boolean surplus;
    /** A read returned end of stream, and no call on the socket had failed before. */
    private boolean streamEnded;

    private double readAt;
    private Future<?> stall;
    private double idleSince;
    private double idleFor;

    /** A connection that has no channel yet. */
    EndpointConnection(EndpointPool pool, EventLoop loop, Clock clock, PooledEndpoint endpoint) {
        this.pool = pool;
        this.loop = loop;
        this.clock = clock;
        this.endpoint = endpoint;
    }

    /** Connects it to its channel, which may not be up yet. */
    void channel(Channel connecting) {
        channel = connecting;
    }

    /** True while requests can be written. */
    boolean active() {
        return channel.isActive();
    }

    /** Closes the connection; an attempt on it ends as broken, unless it was given up before. */
    void close() {
        channel.close();
    }

    /** True once a request has been written, even in part. */
    boolean used() {
        return used;
    }

    /** True once the last byte of the request on it has been written. */
    boolean requestWritten() {
        return written;
    }

    /** When it last became idle, by the clock. */
    double idleSince() {
        return idleSince;
    }

    /** Sets up the pipeline of its channel. */
    void addTo(ChannelPipeline pipeline) {
        pipeline.addLast(new Bytes(), decoder, new HttpRequestEncoder(), this);
    }

    /**
     * Stands before the decoder. Guards against an answer to nobody: a second copy, or noise, must not wait here for
     * the next request. And notes the end of the stream before the decoder makes the end of a response of it.
     */
    private final class Bytes extends ChannelInboundHandlerAdapter {
        // Only a read that returned end of stream or failed brings this event. A failure is told first, and closes
        // the channel, as does a write that fails; a close of our own brings no such event.
        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event instanceof ChannelInputShutdownEvent) {
                streamEnded = channel.isActive();
            }
            ctx.fireUserEventTriggered(event);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            if (attempt == null || attempt.over()) {
                ((ByteBuf) message).release();
                if (attempt == null) {
                    pool.distrust();
                }
                ctx.close();
            } else {
                readAt = clock.now();
                ctx.fireChannelRead(message);
            }
        }
    }

    /**
     * Sends the attempt's request, unless that is no longer wanted: while its connection came up the request may have
     * ended, or the endpoint may have drained, moved or been started anew.
     */
    void begin(EndpointAttempt next) {
        FullHttpRequest request = next.over() || endpoint.ended() ? null : next.request();
        if (request != null) {
            write(next, request);
            return;
        }
        // Nothing was sent. The endpoint has paid for the connection, so the next request has it.
        release();
        next.end(AttemptOutcome.CONNECT_FAILED, null, null);
    }

    private void write(EndpointAttempt next, FullHttpRequest request) {
        attempt = next;
        used = true;
        next.startedOn(this);
        written = false;
        whole = false;
        surplus = false;
        readAt = 0;
        idleFor = idleSince > 0 ? clock.now() - idleSince : 0;
        response.reset();
        channel.writeAndFlush(request).addListener(f -> {
            if (f.isSuccess()) {
                written = true;
            } else {
                spoilt();
            }
        });
    }

    /** Keeps the connection for the next request, or closes it where it may not be used again. */
    void release() {
        if (channel.isActive() && !endpoint.ended() && (pool.trusted() || !used)) {
            idleSince = clock.now();
            endpoint.addIdle(this);
        } else {
            channel.close();
        }
    }

    // A break before the last byte was written proves that nothing ran, a later one proves nothing.
    private void broken() {
        if (attempt == null) {
            return;
        }
        EndpointAttempt ended = attempt;
        attempt = null;
        if (!ended.over() && readAt == 0) {
            endpoint.closedAfterIdle(idleFor);
        }
        ended.end(written ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED, null, null);
    }

    // What comes spoilt has run, perhaps, and the connection is of no further use.
    private void spoilt() {
        channel.close();
        broken();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
        // Behind a whole answer anything may follow in the same pass; the end of the pass settles it.
        if (attempt == null || whole) {
            surplus = true;
            return;
        }
        // A server that ends the stream before it has had the whole request answers something else.
        ResponseAssembler.State state = response.add(message, streamEnded && written);
        if (state == ResponseAssembler.State.UNUSABLE) {
            spoilt();
            return;
        }
        whole = state == ResponseAssembler.State.COMPLETE;
        if (message instanceof LastHttpContent) {
            decoder.answerEnded();
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (attempt == null || attempt.over()) {
            return;
        }
        if (whole) {
            finish();
        } else if (stall == null && decoder.holdsMore()) {
            // Guards against an answer that begins and never ends, on a connection that stays open.
            watchForStall(attempt, STALL_MS);
        }
    }

    private void watchForStall(EndpointAttempt watched, double wait) {
        stall = loop.schedule(
                () -> {
                    stall = null;
                    double left = readAt + STALL_MS - clock.now();
                    if (attempt != watched || watched.over()) {
                        return;
                    }
                    if (left > 0) {
                        watchForStall(watched, left);
                    } else {
                        spoilt();
                    }
                },
                (long) Math.ceil(wait),
                TimeUnit.MILLISECONDS);
    }

    private void finish() {
        EndpointAttempt done = attempt;
        attempt = null;
        if (stall != null) {
            stall.cancel(false);
            stall = null;
        }
        if (written && response.allowsReuse() && !surplus && !decoder.holdsMore()) {
            pool.rest(this);
        } else {
            channel.close();
        }
        HttpResponse head = response.head();
        AttemptOutcome outcome = outcome(head);
        HttpHeaders headers = head.headers();
        UpstreamResponse answer = outcome == AttemptOutcome.SUCCESS
                ? new UpstreamResponse(response.body(), headers.get(HttpHeaderNames.CONTENT_TYPE))
                : null;
        done.end(outcome, answer, LoadReportParser.parse(headers.getAll(HeaderNames.SERVER_LOAD)));
    }

    private static AttemptOutcome outcome(HttpResponse head) {
        HttpResponseStatus status = head.status();
        if (status.equals(HttpResponseStatus.OK)) {
            return AttemptOutcome.SUCCESS;
        }
        boolean turnedAway = (status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
                        || status.equals(HttpResponseStatus.GATEWAY_TIMEOUT))
                && "1".equals(head.headers().get(HeaderNames.NOT_STARTED));
        return turnedAway ? AttemptOutcome.REJECTED : AttemptOutcome.ERROR;
    }

    // The decoder has made of the end what it could: nothing more will come, whether or not an answer was whole.
    @Override
    public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            ctx.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        endpoint.removeIdle(this);
        broken();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
