package loadbalancer.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.nio.charset.StandardCharsets;
import loadbalancer.protocol.BodyBuffer;
import loadbalancer.protocol.ProtocolLimits;

/**
 * Assembles one response from decoded parts and determines whether it is complete.
 *
 * <p>A response ends where its framing says so (RFC 9112, section 6.3): after its last chunk, at its stated length, or,
 * with neither, with its connection. The decoder reports the last kind as ended after every kind of close, so the
 * caller has to say whether the endpoint really ended the stream: a reset does not end a response.
 */
final class ResponseAssembler {
    /** What is known of the response so far. */
    enum State {
        /** More has to come. */
        INCOMPLETE,
        /** Nothing is missing. */
        COMPLETE,
        /** It is malformed, too long or cut off, and can't be passed on, whatever follows. */
        MALFORMED
    }

    /** Interim responses ahead of the final one; a bound of our own, the protocol has none. */
    private static final int MAX_INTERIM_RESPONSES = 8;

    private final BodyBuffer body;
    private HttpResponse head;
    private int interimResponses;
    private boolean endsWithConnection;

    /** An assembler of one response after another, whose bodies are in this buffer. */
    ResponseAssembler(BodyBuffer body) {
        this.body = body;
    }

    /** Discards everything; the next part belongs to another response. */
    void reset() {
        body.clear();
        head = null;
        interimResponses = 0;
        endsWithConnection = false;
    }

    /** The head of the response, once it has come. */
    HttpResponse head() {
        return head;
    }

    /** Hands over the body, which is no longer accounted for here. */
    byte[] takeBody() {
        return body.take();
    }

    /** True if the connection may carry another request once this response is complete. */
    boolean allowsReuse() {
        return !endsWithConnection && HttpUtil.isKeepAlive(head);
    }

    /**
     * Adds the next part.
     *
     * @param streamEnded true if the endpoint has ended the stream in order, so that no byte can be missing
     * @return the state of the response with this part
     */
    State add(HttpObject part, boolean streamEnded) {
        if (part.decoderResult().isFailure()) {
            return State.MALFORMED;
        }
        if (part instanceof HttpResponse response && !begin(response)) {
            return State.MALFORMED;
        }
        if (part instanceof HttpContent content && !append(content.content())) {
            return State.MALFORMED;
        }
        return part instanceof LastHttpContent ? end(streamEnded) : State.INCOMPLETE;
    }

    // False for ambiguous framing, a body that is too long, and too many interim responses.
    private boolean begin(HttpResponse response) {
        head = response;
        if (isInterim()) {
            interimResponses++;
            return interimResponses <= MAX_INTERIM_RESPONSES;
        }
        String encoding = response.headers().get(HttpHeaderNames.TRANSFER_ENCODING);
        if (encoding != null) {
            return HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encoding);
        }
        if (HttpUtil.isContentLengthSet(response)) {
            return HttpUtil.getContentLength(response) <= ProtocolLimits.MAX_BODY_BYTES;
        }
        endsWithConnection = mayHaveBody(response.status());
        return true;
    }

    private boolean append(ByteBuf bytes) {
        return body.add(bytes) == BodyBuffer.Result.ADDED;
    }

    private State end(boolean streamEnded) {
        if (isInterim()) {
            head = null;
            return State.INCOMPLETE;
        }
        if (endsWithConnection && (!streamEnded || containsSecondResponse())) {
            return State.MALFORMED;
        }
        return State.COMPLETE;
    }

    private boolean isInterim() {
        return head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }

    private boolean containsSecondResponse() {
        return ResponseHeadScanner.containsHead(new String(body.copy(), StandardCharsets.ISO_8859_1));
    }

    private static boolean mayHaveBody(HttpResponseStatus status) {
        return !status.equals(HttpResponseStatus.NO_CONTENT) && !status.equals(HttpResponseStatus.NOT_MODIFIED);
    }
}
