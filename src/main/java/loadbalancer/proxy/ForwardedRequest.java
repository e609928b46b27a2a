package loadbalancer.proxy;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import loadbalancer.protocol.Decimals;
import loadbalancer.protocol.HeaderNames;

/** A client's request as endpoints receive it; only the timeout differs from one attempt to the next. */
final class ForwardedRequest {
    private static final double MILLIS_PER_SECOND = 1000;
    /** The least time that the three decimals of a second in the header can state. */
    private static final double MIN_TIMEOUT_MILLIS = 1;

    private final ClientRequest head;
    private final byte[] body;

    /** Creates the request from its validated head and its complete body, which nobody changes any more. */
    ForwardedRequest(ClientRequest head, byte[] body) {
        this.head = head;
        this.body = body;
    }

    /**
     * Creates the message for one attempt.
     *
     * @param timeoutMillis how long the client still waits; whole milliseconds of it are stated
     */
    FullHttpRequest toHttpRequest(double timeoutMillis) {
        HttpHeaders headers = head.headers().copy();
        double timeoutSeconds = Math.max(MIN_TIMEOUT_MILLIS, Math.floor(timeoutMillis)) / MILLIS_PER_SECOND;
        headers.set(HeaderNames.REQUEST_TIMEOUT, Decimals.formatThousandths(timeoutSeconds));
        if (body.length > 0 || head.method().equals(HttpMethod.POST)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                head.method(),
                head.uri(),
                Unpooled.wrappedBuffer(body),
                headers,
                EmptyHttpHeaders.INSTANCE);
    }
}
