package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import loadbalancer.testing.FakeServer;
import loadbalancer.testing.SingleReadSocket;
import loadbalancer.testing.TestClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Which bytes of an endpoint make a complete response. */
class ResponseFramingTest {
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\nhalf",
                "HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nContent-Length: 0\r\n\r\n",
                "nonsense\r\n\r\n"
            })
    void failsRequestIfResponseIsIncomplete(String raw) throws Exception {
        FakeServer.Script closes = (request, wire) -> {
            wire.text(raw.contains("99999") ? raw + "y".repeat(99999) : raw);
            wire.socket().close();
        };
        try (ProxySetup setup = ProxySetup.withEndpoints(closes)) {
            TestClient.Response answer = setup.client().exchange(TestClient.submit("5"));
            assertEquals(502, answer.status());
            assertEquals("", answer.body());
        }
    }

    @Test
    void servesChunkedBodyAfterInterimResponse() throws Exception {
        FakeServer.Script chunked = (request, wire) -> wire.text("HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 200 OK\r\n"
                + "Transfer-Encoding: chunked\r\nServer-Load: util=oops\r\n\r\n"
                + "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n");
        try (ProxySetup setup = ProxySetup.withEndpoints(chunked)) {
            assertEquals("abc", setup.client().exchange(TestClient.submit("5")).body());
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "nonsense\r\n\r\n",
                "no line at all",
                "HTTP/1.1 200 OK\r\nServer-Load: ut",
                "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nit goes on",
                "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
                "HTTP/1.1 200 OK\r\n\r\nwho knows",
                "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 4\r\n\r\ngood",
                "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\ngood",
                "INTERIM"
            })
    void failsMalformedResponseOnOpenConnectionBeforeDeadline(String raw) throws Exception {
        String text = raw.replace("INTERIM", "HTTP/1.1 100 Continue\r\n\r\n".repeat(50));
        try (ProxySetup setup = ProxySetup.withEndpoints((request, wire) -> wire.text(text))) {
            // The request's deadline is later than this test waits, and a retry is not allowed.
            assertEquals(502, setup.client().exchange(TestClient.submit("50")).status());
            setup.endpoint(0).awaitClose();
            assertEquals(1, setup.requests().size());
        }
    }

    // Guards against a body that is served cut off, since its stated length or an early last chunk ends it too soon.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood but cut off",
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\ngood",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n4\r\ngood\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\ngo\r\n0\r\n\r\n2\r\nod\r\n0\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood ",
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngoodHTTP/1.1 200 OK\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngoodHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother",
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood",
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngoodHHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood",
                "HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\ngood"
            })
    void failsResponseFollowedByWhatMayBelongToItsBody(String raw) throws Exception {
        try (ProxySetup setup = ProxySetup.withEndpoints((request, wire) -> wire.text(raw))) {
            assertEquals(502, setup.client().exchange(TestClient.submit("50")).status());
            setup.endpoint(0).awaitClose();
            // It may have been executed, and must not run twice.
            assertEquals(1, setup.requests().size());
        }
    }

    // Guards against a body that is served cut off where the turn's last read ends just behind the stated length.
    @Test
    void failsResponseWhoseSurplusIsReadInNextTurn() throws Exception {
        try (ProxySetup setup = withSingleReads(responseOfOneRead() + " but cut off")) {
            assertEquals(502, setup.client().exchange(TestClient.submit("50")).status());
        }
    }

    @Test
    void servesResponseThatFillsTheLastReadOfTurn() throws Exception {
        try (ProxySetup setup = withSingleReads(responseOfOneRead())) {
            assertEquals(200, setup.client().exchange(TestClient.submit("50")).status());
        }
    }

    private static ProxySetup withSingleReads(String response) throws Exception {
        return ProxySetup.withCancellation(true, SingleReadSocket.class, (request, wire) -> wire.text(response));
    }

    private static String responseOfOneRead() {
        String head = "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n";
        int bodyLength = SingleReadSocket.READ_BYTES - String.format(head, 10).length();
        return String.format(head, bodyLength) + "g".repeat(bodyLength);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood",
                "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ngood",
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nover",
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngoodnoise with\r\nlines\r\n\r\n"
            })
    void servesResponseFollowedByDuplicateToItsRequestOnly(String surplus) throws Exception {
        String text = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood" + surplus;
        try (ProxySetup setup = ProxySetup.withEndpoints((request, wire) -> wire.text(text))) {
            for (int i = 0; i < 20; i++) {
                assertEquals(
                        "good", setup.client().exchange(TestClient.submit("5")).body());
                setup.endpoint(0).awaitClose();
            }
            assertEquals(20, setup.connections());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"noise", "HTTP/1.1 200 OK\r\n", "noise with\r\nlines\r\n\r\n"})
    void neverServesBytesAfterResponseToNextRequest(String surplus) throws Exception {
        String text = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood" + surplus;
        try (ProxySetup setup = ProxySetup.withEndpoints((request, wire) -> wire.text(text))) {
            assertEquals(502, setup.client().exchange(TestClient.submit("5")).status());
            setup.endpoint(0).awaitClose();
            setup.endpoint(0).script((request, wire) -> wire.ok("next"));
            for (int i = 0; i < 20; i++) {
                assertEquals("next", setup.askUntilServed());
            }
        }
    }
}
