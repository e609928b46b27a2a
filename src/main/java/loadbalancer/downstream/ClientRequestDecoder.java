package loadbalancer.downstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;
import loadbalancer.protocol.FramingMeter;
import loadbalancer.protocol.LimitedHeadersFactory;

/** Decodes the requests of a client strictly, measures their framing, and detects bytes that follow a request. */
final class ClientRequestDecoder extends HttpRequestDecoder {
    /** A request without fields, in bytes of the heap. */
    private static final int REQUEST_OVERHEAD_BYTES = 512;

    private final LimitedHeadersFactory.FieldListener head;
    private final FramingMeter framing = new FramingMeter();
    private int startedHeads;
    private boolean discarding;
    private boolean bodyExpected;
    private boolean bodyEnded;
    /** True once any byte has come behind a body, also one that the decoder skips as a blank line. */
    private boolean bytesBehindBody;

    /** A decoder for one connection, which reports the parts of a head to this listener before it keeps them. */
    ClientRequestDecoder(LimitedHeadersFactory.FieldListener head) {
        super(LimitedHeadersFactory.decoderConfig(head));
        this.head = head;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf input, List<Object> output) throws Exception {
        if (discarding || framing.exceeded()) {
            // The message is invalid already; what follows costs no work.
            input.skipBytes(input.readableBytes());
            return;
        }
        bytesBehindBody |= bodyEnded && input.isReadable();
        int readableBefore = input.readableBytes();
        int decodedBefore = output.size();
        super.decode(ctx, input, output);
        framing.decoded(readableBefore - input.readableBytes(), output, decodedBefore);
        for (int i = decodedBefore; i < output.size(); i++) {
            notePart(output.get(i));
        }
    }

    private void notePart(Object part) {
        if (part instanceof HttpMessage message) {
            bodyExpected = HttpUtil.isContentLengthSet(message) || HttpUtil.isTransferEncodingChunked(message);
        }
        bodyEnded |= bodyExpected && part instanceof LastHttpContent;
    }

    /** Netty would ignore the length and read the chunks; a reader that does otherwise allows request smuggling. */
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) throws Exception {
        startedHeads++;
        head.fieldAdded(REQUEST_OVERHEAD_BYTES + initialLine[1].length());
        return super.createMessage(initialLine);
    }

    /**
     * True if more than one request has been received: a second head has begun, or there are bytes left over. Behind a
     * body any byte may be the rest of it, whose stated length is then too short.
     */
    boolean hasMoreThanOneRequest() {
        return startedHeads > 1 || bytesBehindBody || actualReadableBytes() > 0;
    }

    /** From now on nothing is decoded any more: the connection takes no further request. */
    void discardRest() {
        discarding = true;
    }

    /** True if the request has far more framing than content. */
    boolean framingExceeded() {
        return framing.exceeded();
    }

    /** Returns the size of the buffer that holds an incomplete line; 0 if there is none. */
    int bufferedBytes() {
        return actualReadableBytes() > 0 ? internalBuffer().capacity() : 0;
    }

    /** Prepares for the next request, once the present one has been answered. */
    void requestAnswered() {
        startedHeads = 0;
        bodyExpected = false;
        bodyEnded = false;
        bytesBehindBody = false;
        framing.reset();
    }
}
