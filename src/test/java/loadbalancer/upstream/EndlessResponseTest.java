package loadbalancer.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.stream.Stream;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.TestClient;
import loadbalancer.testing.TestSidecar;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Responses that never end, or that a reset ends: the attempt fails, and the client gets one answer. */
class EndlessResponseTest {
    private static final String OK = "HTTP/1.1 200 OK\r\n";

    // Class, beginning, the piece that is repeated, the pause between two in milliseconds, and the timeout in seconds:
    // it is long where the size of the response has to end the attempt.
    private static Stream<Arguments> endlessResponses() {
        return Stream.of("submit", "pay", "status")
                .flatMap(requestClass -> Stream.of(
                        Arguments.of(requestClass, OK + "X-Head: ", "x", 100, "1"),
                        Arguments.of(requestClass, "", "H", 100, "1"),
                        Arguments.of(requestClass, OK + "Content-Length: 60000\r\n\r\n", "x", 100, "1"),
                        Arguments.of(requestClass, OK + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 100, "1"),
                        Arguments.of(
                                requestClass,
                                OK + "Transfer-Encoding: chunked\r\n\r\n",
                                "400\r\n" + "x".repeat(1024) + "\r\n",
                                0,
                                "50"),
                        Arguments.of(
                                requestClass,
                                OK + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
                                "X-Trailer: x\r\n",
                                0,
                                "50"),
                        Arguments.of(requestClass, OK, "X-Head: x\r\n", 0, "50"),
                        Arguments.of(requestClass, "", "HTTP/1.1 100 Continue\r\n\r\n", 0, "50"),
                        Arguments.of(requestClass, "", "HTTP/1.1 103 Hints\r\n\r\n", 100, "1")));
    }

    private static FakeServer.Script endless(String first, String piece, long pauseMillis) {
        return (request, wire) -> {
            wire.text(first);
            // Ends when the other side has closed.
            while (true) {
                wire.text(piece);
                try {
                    Thread.sleep(pauseMillis);
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
            }
        };
    }

    @ParameterizedTest
    @MethodSource("endlessResponses")
    void failsAttemptWithEndlessResponse(
            String requestClass, String first, String piece, long pauseMillis, String timeoutSeconds) throws Exception {
        FakeServer.Script script = endless(first, piece, pauseMillis);
        try (FakeServer endpoint = new FakeServer(script);
                FakeServer otherEndpoint = new FakeServer(script);
                TestSidecar sidecar =
                        new TestSidecar(FakeServer.refusing(), endpoint.address(), otherEndpoint.address());
                TestClient client = sidecar.client()) {
            boolean retryAllowed = !requestClass.equals("submit");
            int status = client.exchange(TestRequests.ofClass(requestClass, timeoutSeconds))
                    .status();
            assertTrue(status == 502 || status == 503 && retryAllowed, "answered " + status);
            sidecar.await(() -> sidecar.dispatcher.pendingCount() == 0);
            int sent = endpoint.requests.size() + otherEndpoint.requests.size();
            assertTrue(sent >= 1 && (sent == 1 || retryAllowed), "sent " + sent);
            // Each attempt has ended with its connection, and no second answer comes before the next one.
            awaitEndOfEachRequest(endpoint);
            awaitEndOfEachRequest(otherEndpoint);
            assertEquals(
                    404,
                    client.exchange("GET /other HTTP/1.1\r\nHost: x\r\n\r\n").status());
        }
    }

    private static void awaitEndOfEachRequest(FakeServer endpoint) throws InterruptedException {
        for (int i = endpoint.requests.size(); i > 0; i--) {
            endpoint.awaitClose();
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "Content-Length: 9\r\n", "Transfer-Encoding: chunked\r\n", "Connection: close\r\n"})
    void neverServesResponseEndedByReset(String headers) throws Exception {
        FakeServer.Script reset = CloseDelimitedResponses.thenReset(OK + headers + "\r\n4\r\nhalf\r\n".substring(0, 8));
        try (FakeServer endpoint = new FakeServer(reset);
                FakeServer otherEndpoint = new FakeServer(reset);
                TestSidecar sidecar =
                        new TestSidecar(FakeServer.refusing(), endpoint.address(), otherEndpoint.address());
                TestClient client = sidecar.client()) {
            assertEquals(502, client.exchange(TestClient.submit("50")).status());
            assertEquals(1, endpoint.requests.size() + otherEndpoint.requests.size());
        }
    }
}
