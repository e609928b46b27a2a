package loadbalancer.downstream;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import loadbalancer.protocol.Decimals;
import loadbalancer.upstream.UpstreamResponse;

/** Makes the responses that clients get. */
final class ClientResponses {
    private static final double MILLIS_PER_SECOND = 1000;

    private ClientResponses() {}

    /** A response with this status and no body. */
    static FullHttpResponse withStatus(HttpResponseStatus status) {
        return withBody(status, new byte[0]);
    }

    /** The response of an endpoint, passed on with its body and content type alone. */
    static FullHttpResponse success(UpstreamResponse upstream) {
        FullHttpResponse response = withBody(HttpResponseStatus.OK, upstream.body());
        if (upstream.contentType() != null) {
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, upstream.contentType());
        }
        return response;
    }

    /**
     * A rejection of a request that was not executed.
     *
     * @param retryAfterMillis when a retry is welcome, in milliseconds from now; without a header if it is 0
     */
    static FullHttpResponse rejection(double retryAfterMillis) {
        FullHttpResponse response = withStatus(HttpResponseStatus.SERVICE_UNAVAILABLE);
        if (retryAfterMillis > 0) {
            String seconds = Decimals.formatThousandths(retryAfterMillis / MILLIS_PER_SECOND);
            response.headers().set(HttpHeaderNames.RETRY_AFTER, seconds);
        }
        return response;
    }

    private static FullHttpResponse withBody(HttpResponseStatus status, byte[] body) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        return response;
    }
}
