package loadbalancer.upstream;

import static loadbalancer.upstream.CloseDelimitedResponses.HEAD;
import static loadbalancer.upstream.CloseDelimitedResponses.OK;
import static loadbalancer.upstream.CloseDelimitedResponses.assertFailed;
import static loadbalancer.upstream.CloseDelimitedResponses.assertServed;
import static loadbalancer.upstream.CloseDelimitedResponses.sendOnce;
import static loadbalancer.upstream.CloseDelimitedResponses.sidecar;
import static loadbalancer.upstream.CloseDelimitedResponses.thenClose;
import static loadbalancer.upstream.CloseDelimitedResponses.thenReset;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import loadbalancer.testing.DeferredResponses;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.TestClient;
import loadbalancer.testing.TestSidecar;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Responses that end with their connection: when they are complete, and what follows for the request. */
class CloseDelimitedResponseTest {
    private static final long PAUSE_BELOW_STALL_MILLIS = 400;
    private static final long PAUSE_ABOVE_STALL_MILLIS = 600;

    @ParameterizedTest
    @ValueSource(
            strings = {
                HEAD,
                "HTTP/1.0 200 OK\r\n\r\n",
                "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
                "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n\r\n",
                "HTTP/1.1 100 Continue\r\n\r\n" + HEAD,
                "HTTP/1.1 103 Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + HEAD
            })
    void servesResponseEndedInOrder(String head) throws Exception {
        assertServed("who knows", sendOnce(thenClose(head + "who knows")));
        assertServed("", sendOnce(thenClose(head)));
    }

    @ParameterizedTest
    @CsvSource({"65536, 200", "65537, 502"})
    void limitsBodySize(int size, int status) throws Exception {
        String body = "x".repeat(size);
        TestClient.Response answer = sendOnce(thenClose(HEAD + body));
        assertEquals(status, answer.status());
        assertEquals(status == 200 ? body : "", answer.body());
    }

    @Test
    void usesNewConnectionForEachRequest() throws Exception {
        // The limits allow one connection to all endpoints, so each has to be released before the next.
        try (FakeServer endpoint = new FakeServer(thenClose(HEAD + "done"));
                TestSidecar sidecar = new TestSidecar(4, FakeServer.refusing(), "ask", endpoint.address());
                TestClient client = sidecar.client()) {
            for (int i = 1; i <= 20; i++) {
                assertServed("done", client.exchange(TestClient.submit("50")));
                endpoint.awaitClose();
                assertEquals(i, endpoint.connections());
            }
        }
    }

    @Test
    void servesResponseClosedInSameRead() throws Exception {
        assertServedInOneTurn(HEAD + "done", "done");
        assertServedInOneTurn(HEAD, "");
    }

    // The loop is blocked until head, body and end of stream have all come.
    private static void assertServedInOneTurn(String text, String body) throws Exception {
        try (DeferredExchange exchange = DeferredExchange.begin()) {
            exchange.sidecar.call(() -> {
                exchange.connection.text(text);
                exchange.connection.socket().close();
                return null;
            });
            assertServed(body, exchange.client.read());
        }
    }

    @ParameterizedTest
    @CsvSource({PAUSE_BELOW_STALL_MILLIS + ", 200", PAUSE_ABOVE_STALL_MILLIS + ", 502"})
    void failsResponseThatPausesForStallTimeout(long pauseMillis, int status) throws Exception {
        try (DeferredExchange exchange = DeferredExchange.begin()) {
            for (String piece : new String[] {HEAD, "in ", "three ", "pieces"}) {
                long before = exchange.sidecar.call(exchange.sidecar.activity::socketEvents);
                try {
                    exchange.connection.text(piece);
                } catch (IOException stalled) {
                    break;
                }
                exchange.sidecar.await(() -> exchange.sidecar.activity.socketEvents() > before);
                exchange.sidecar.advance(pauseMillis);
                if (status != 200) {
                    break;
                }
            }
            if (status == 200) {
                exchange.connection.socket().shutdownOutput();
            }
            TestClient.Response answer = exchange.client.read();
            assertEquals(status, answer.status());
            assertEquals(status == 200 ? "in three pieces" : "", answer.body());
            exchange.endpoint.awaitClose();
        }
    }

    @Test
    void servesResponseEndedByHalfClose() throws Exception {
        assertServed("done", sendOnce((request, wire) -> {
            wire.text(HEAD + "done");
            wire.socket().shutdownOutput();
        }));
    }

    @Test
    void servesResponseWithLengthBeforeClose() throws Exception {
        String text = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: close\r\n\r\ndone";
        assertServed("done", sendOnce(thenClose(text)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"204 No Content", "304 Not Modified"})
    void completesBodilessResponseWithItsHead(String status) throws Exception {
        try (FakeServer endpoint = new FakeServer((request, wire) -> wire.text("HTTP/1.1 " + status + "\r\n\r\n"));
                TestSidecar sidecar = sidecar(endpoint.address());
                TestClient client = sidecar.client()) {
            assertFailed(client.exchange(TestClient.submit("50")));
            assertEquals(1, endpoint.requests.size());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {HEAD + "done", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"})
    void failsResponseFollowedByAnother(String second) throws Exception {
        assertFailed(sendOnce(thenClose(HEAD + "done" + second)));
    }

    @Test
    void servesBodyThatQuotesStatusLine() throws Exception {
        String body = "as HTTP/1.1 200 OK tells\r\nand HTTP/1.1\r\n";
        assertServed(body, sendOnce(thenClose(HEAD + body)));
    }

    @ParameterizedTest
    @CsvSource({
        "500 Error, false, 502, 1",
        "500 Error, true, 502, 1",
        "503 Full, false, 200, 2",
        "503 Full, true, 502, 1"
    })
    void retriesOnlyAfterCompleteRejection(String status, boolean reset, int expectedStatus, int attempts)
            throws Exception {
        AtomicInteger requests = new AtomicInteger();
        String text = "HTTP/1.1 " + status + "\r\n" + (status.startsWith("503") ? "Not-Started: 1\r\n" : "") + "\r\nno";
        FakeServer.Script failing = reset ? thenReset(text) : thenClose(text);
        FakeServer.Script script =
                (request, wire) -> (requests.getAndIncrement() == 0 ? failing : OK).on(request, wire);
        try (FakeServer endpoint = new FakeServer(script);
                FakeServer otherEndpoint = new FakeServer(script);
                TestSidecar sidecar = sidecar(endpoint.address(), otherEndpoint.address());
                TestClient client = sidecar.client()) {
            assertEquals(
                    expectedStatus, client.exchange(TestClient.submit("50")).status());
            assertEquals(attempts, endpoint.requests.size() + otherEndpoint.requests.size());
        }
    }

    @ParameterizedTest
    @CsvSource({"submit, false", "pay, false", "status, false", "submit, true"})
    void sendsServedOrNotIdempotentRequestOnce(String requestClass, boolean reset) throws Exception {
        FakeServer.Script script = reset ? thenReset(HEAD + "done") : thenClose(HEAD + "done");
        try (FakeServer endpoint = new FakeServer(script);
                FakeServer otherEndpoint = new FakeServer(script);
                TestSidecar sidecar = sidecar(endpoint.address(), otherEndpoint.address());
                TestClient client = sidecar.client()) {
            String request = TestRequests.ofClass(requestClass, "50");
            assertEquals(reset ? 502 : 200, client.exchange(request).status());
            sidecar.await(() -> sidecar.dispatcher.pendingCount() == 0);
            assertEquals(1, endpoint.requests.size() + otherEndpoint.requests.size());
        }
    }

    @Test
    void retriesIdempotentRequestAfterReset() throws Exception {
        AtomicInteger requests = new AtomicInteger();
        FakeServer.Script firstBreaks =
                (request, wire) -> (requests.getAndIncrement() == 0 ? thenReset(HEAD + "half") : OK).on(request, wire);
        try (FakeServer endpoint = new FakeServer(firstBreaks);
                FakeServer otherEndpoint = new FakeServer(firstBreaks);
                TestSidecar sidecar = sidecar(endpoint.address(), otherEndpoint.address());
                TestClient client = sidecar.client()) {
            assertEquals("elsewhere", client.exchange(TestClient.status("50")).body());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"full", "half", "reset"})
    void releasesRequestWhenResponseEndsAsClientLeaves(String how) throws Exception {
        try (DeferredExchange exchange = DeferredExchange.begin()) {
            exchange.sidecar.call(() -> {
                exchange.connection.text(HEAD + "done");
                exchange.connection.socket().close();
                exchange.client.disconnect(how);
                return null;
            });
            exchange.sidecar.await(() ->
                    exchange.sidecar.dispatcher.pendingCount() == 0 && exchange.sidecar.server.connections() == 0);
            exchange.endpoint.script(OK);
            try (TestClient client = exchange.sidecar.client()) {
                assertServed("elsewhere", client.exchange(TestClient.submit("50")));
            }
            assertEquals(2, exchange.endpoint.requests.size());
        }
    }

    @Test
    void servesResponseThatEndsDuringShutdown() throws Exception {
        DeferredResponses script = new DeferredResponses();
        CountDownLatch drained = new CountDownLatch(1);
        try (FakeServer endpoint = new FakeServer(script);
                TestSidecar sidecar = sidecar(endpoint.address());
                TestClient client = sidecar.client()) {
            client.send(TestClient.submit("50"));
            FakeServer.Connection wire = script.awaitRequest();
            sidecar.call(() -> {
                wire.text(HEAD + "done");
                sidecar.server.shutDown(drained::countDown);
                wire.socket().close();
                return null;
            });
            TestClient.Response answer = client.read();
            assertNotNull(answer);
            assertServed("done", answer);
            client.close();
            assertTrue(drained.await(FakeServer.TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
    }
}
