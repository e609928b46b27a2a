package loadbalancer.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.nio.charset.StandardCharsets;
import loadbalancer.upstream.UpstreamResponse;
import org.junit.jupiter.api.Test;

class ClientResponsesTest {
    @Test
    void passesOnBodyAndContentType() {
        byte[] body = "done".getBytes(StandardCharsets.UTF_8);
        FullHttpResponse response = ClientResponses.success(new UpstreamResponse(body, "text/plain"));
        assertEquals(200, response.status().code());
        assertEquals("done", response.content().toString(StandardCharsets.UTF_8));
        assertEquals("4", response.headers().get(HttpHeaderNames.CONTENT_LENGTH));
        assertEquals("text/plain", response.headers().get(HttpHeaderNames.CONTENT_TYPE));
    }

    @Test
    void givesRetryAfterInSeconds() {
        FullHttpResponse response = ClientResponses.rejection(1250);
        assertEquals(503, response.status().code());
        assertEquals("1.250", response.headers().get(HttpHeaderNames.RETRY_AFTER));
    }

    @Test
    void omitsRetryAfterOfZero() {
        FullHttpResponse response = ClientResponses.rejection(0);
        assertEquals(503, response.status().code());
        assertNull(response.headers().get(HttpHeaderNames.RETRY_AFTER));
    }
}
