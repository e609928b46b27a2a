package loadbalancer.upstream;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Which bodies contain the head of another response. */
class ResponseHeadScannerTest {
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\n\r\n",
                "HTTP/1.0 404\n\n",
                "doneHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmore",
                "HTTP/1.1 first, then HTTP/1.1 200 OK\r\n\r\n"
            })
    void findsCompleteHead(String body) {
        assertTrue(ResponseHeadScanner.containsHead(body));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "HTTP/1.",
                "HTTP/1.1 20\n\n",
                "HTTP/1.1 200 OK",
                "HTTP/1.1 200 OK\r\nA: b\r\n",
                "HTTP/1.1 200 OK\r\nno header\r\n\r\n",
                "HTTP/2.0 200 OK\r\n\r\n"
            })
    void ignoresIncompleteHead(String body) {
        assertFalse(ResponseHeadScanner.containsHead(body));
    }

    @Test
    void examinesLimitedNumberOfHeaderLines() {
        assertTrue(ResponseHeadScanner.containsHead("HTTP/1.1 200 OK\n" + "A: b\n".repeat(32) + "\n"));
        assertFalse(ResponseHeadScanner.containsHead("HTTP/1.1 200 OK\n" + "A: b\n".repeat(33) + "\n"));
    }
}
