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
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import loadbalancer.protocol.ProtocolLimits;

/**
 * Assembles one response from decoded parts and judges whether it is whole.
 *
 * <p>A response ends where its framing says so (RFC 9112, section 6.3): after its last chunk, at its stated length, or,
 * with neither, with its connection. The decoder reports the last kind as ended after every kind of close, so the
 * caller has to say whether the server really ended the stream: a reset is no end.
 */
public final class ResponseAssembler {
    /** What is known of the response so far. */
    enum State {
        /** More has to come. */
        INCOMPLETE,
        /** It is whole. */
        COMPLETE,
        /** It can't be passed on, whatever follows. */
        UNUSABLE
    }

    /** Interim responses ahead of the final one; more are not meant to end. */
    private static final int MAX_INTERIM_RESPONSES = 8;

    private static final String PROTOCOL = "HTTP/1.";
    /** A status line up to its code: the protocol, a digit, a space and three digits. */
    private static final int MIN_STATUS_LINE = PROTOCOL.length() + 5;
    /** Header lines of a second head that are looked at. */
    private static final int MAX_HEADER_LINES = 32;

    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private HttpResponse head;
    private int interimResponses;
    private boolean endsWithConnection;

    /** Forgets everything; the next part belongs to another response. */
    void reset() {
        body.reset();
        head = null;
        interimResponses = 0;
        endsWithConnection = false;
    }

    /** The head of the response, once it has come. */
    HttpResponse head() {
        return head;
    }

    /** A copy of the body so far. */
    byte[] body() {
        return body.toByteArray();
    }

    /** True if the connection may carry another request once this response is complete. */
    boolean allowsReuse() {
        return !endsWithConnection && HttpUtil.isKeepAlive(head);
    }

    /**
     * Takes in the next part.
     *
     * @param streamEnded true if the server has ended the stream in order, so that no byte can be missing
     */
    State add(HttpObject part, boolean streamEnded) {
        if (part.decoderResult().isFailure()) {
            return State.UNUSABLE;
        }
        if (part instanceof HttpResponse response && !begin(response)) {
            return State.UNUSABLE;
        }
        if (part instanceof HttpContent content && !append(content.content())) {
            return State.UNUSABLE;
        }
        return part instanceof LastHttpContent ? end(streamEnded) : State.INCOMPLETE;
    }

    // False for a framing that can't be relied on, for a body that is too long, and for interim responses without end.
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
        if (body.size() + bytes.readableBytes() > ProtocolLimits.MAX_BODY_BYTES) {
            return false;
        }
        byte[] copy = new byte[bytes.readableBytes()];
        bytes.readBytes(copy);
        body.writeBytes(copy);
        return true;
    }

    private State end(boolean streamEnded) {
        if (isInterim()) {
            head = null;
            return State.INCOMPLETE;
        }
        if (endsWithConnection && (!streamEnded || holdsSecondResponse())) {
            return State.UNUSABLE;
        }
        return State.COMPLETE;
    }

    private boolean isInterim() {
        return head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }

    private static boolean mayHaveBody(HttpResponseStatus status) {
        return !status.equals(HttpResponseStatus.NO_CONTENT) && !status.equals(HttpResponseStatus.NOT_MODIFIED);
    }

    // Without a length, a second response behind the first would pass for a part of its body.
    private boolean holdsSecondResponse() {
        String text = body.toString(StandardCharsets.ISO_8859_1);
        for (int at = text.indexOf(PROTOCOL); at >= 0; at = text.indexOf(PROTOCOL, at + 1)) {
            if (isHead(text, at)) {
                return true;
            }
        }
        return false;
    }

    // A status line, header lines and an empty line: prose may have the first of these alone.
    private static boolean isHead(String text, int from) {
        int end = text.indexOf('\n', from);
        if (end < from + MIN_STATUS_LINE || !isStatusLine(text, from)) {
            return false;
        }
        for (int i = 0; i <= MAX_HEADER_LINES; i++) {
            int start = end + 1;
            end = text.indexOf('\n', start);
            if (end < 0) {
                return false;
            }
            String line = text.substring(start, end).stripTrailing();
            if (line.isEmpty()) {
                return true;
            }
            if (line.indexOf(':') <= 0) {
                return false;
            }
        }
        return false;
    }

    private static boolean isStatusLine(String text, int from) {
        int code = from + PROTOCOL.length() + 2;
        return Character.isDigit(text.charAt(code - 2))
                && text.charAt(code - 1) == ' '
                && Character.isDigit(text.charAt(code))
                && Character.isDigit(text.charAt(code + 1))
                && Character.isDigit(text.charAt(code + 2));
    }
}
