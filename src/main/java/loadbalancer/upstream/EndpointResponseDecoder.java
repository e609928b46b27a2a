package loadbalancer.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import java.util.List;
import loadbalancer.protocol.FramingMeter;
import loadbalancer.protocol.LimitedHeadersFactory;

/** A response decoder that rejects what Netty's would accept and another reader would understand differently. */
final class EndpointResponseDecoder extends HttpResponseDecoder {
    private final SurplusBytes surplus;
    private final FramingMeter framing = new FramingMeter();
    private boolean responseBegun;

    /**
     * A decoder for one connection.
     *
     * @param fields is notified of the fields of heads and trailers before they are kept
     * @param surplus is notified of bytes before they are decoded
     */
    EndpointResponseDecoder(LimitedHeadersFactory.FieldListener fields, SurplusBytes surplus) {
        super(LimitedHeadersFactory.decoderConfig(fields));
        this.surplus = surplus;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf input, List<Object> output) throws Exception {
        if (input.isReadable()) {
            surplus.bytesReceived(input.getByte(input.readerIndex()));
        }
        if (framing.exceeded()) {
            // The message is invalid already; what follows costs no work.
            input.skipBytes(input.readableBytes());
            return;
        }
        int readableBefore = input.readableBytes();
        int decodedBefore = output.size();
        super.decode(ctx, input, output);
        framing.decoded(readableBefore - input.readableBytes(), output, decodedBefore);
    }

    // Netty would drop Content-Length and use the chunks.
    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and Transfer-Encoding");
    }

    // Netty would take a line without a colon for a header name.
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (start + length >= line.length || line[start + length] != ':') {
            throw new IllegalArgumentException("a header without a colon");
        }
        return super.splitHeaderName(line, start, length);
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        responseBegun = true;
        return super.createMessage(initialLine);
    }

    /** True if the status line of a response has come, or any undecoded byte. */
    boolean hasPartialResponse() {
        return responseBegun || actualReadableBytes() > 0;
    }

    /** Returns the size of the buffer that holds an incomplete line; 0 if there is none. */
    int bufferedBytes() {
        return actualReadableBytes() > 0 ? internalBuffer().capacity() : 0;
    }

    /** The response has ended: whatever comes from now on belongs to another one. */
    void responseEnded() {
        responseBegun = false;
        framing.reset();
    }

    /** True if the response has far more framing than content. */
    boolean framingExceeded() {
        return framing.exceeded();
    }
}
