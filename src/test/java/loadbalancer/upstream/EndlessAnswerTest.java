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

/** Answers that never end, or that a reset ends: an attempt that fails, and one answer to the client. */
class EndlessAnswerTest {
    private static final String OK = "HTTP/1.1 200 OK\r\n";

    // What begins, the piece that comes for ever, and the pause between two. What size ends has time.
    private static Stream<Arguments> answers() {
        return Stream.of("submit", "pay", "status")
                .flatMap(type -> Stream.of(
                        Arguments.of(type, OK + "X-Head: ", "x", 100, "1"),
                        Arguments.of(type, "", "H", 100, "1"),
                        Arguments.of(type, OK + "Content-Length: 60000\r\n\r\n", "x", 100, "1"),
                        Arguments.of(type, OK + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 100, "1"),
                        Arguments.of(
                                type,
                                OK + "Transfer-Encoding: chunked\r\n\r\n",
                                "400\r\n" + "x".repeat(1024) + "\r\n",
                                0,
                                "50"),
                        Arguments.of(type, OK + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Trailer: x\r\n", 0, "50"),
                        Arguments.of(type, OK, "X-Head: x\r\n", 0, "50"),
                        Arguments.of(type, "", "HTTP/1.1 100 Continue\r\n\r\n", 0, "50"),
                        Arguments.of(type, "", "HTTP/1.1 103 Hints\r\n\r\n", 100, "1")));
    }

    private static String request(String type, String timeout) {
        return switch (type) {
            case "submit" -> TestClient.submit(timeout);
            case "pay" -> TestClient.pay(timeout);
            default -> TestClient.status(timeout);
        };
    }

    private static FakeServer.Script endless(String first, String piece, long pause) {
        return (r, w) -> {
            w.text(first);
            // Ends when the other side has closed.
            while (true) {
                w.text(piece);
                try {
                    Thread.sleep(pause);
                } catch (InterruptedException x) {
                    throw new IOException(x);
                }
            }
        };
    }

    @ParameterizedTest
    @MethodSource("answers")
    void anAnswerWithoutEndIsAFailedAttempt(String type, String first, String piece, long pause, String timeout)
            throws Exception {
        try (FakeServer e = new FakeServer(endless(first, piece, pause));
                FakeServer f = new FakeServer(endless(first, piece, pause));
                TestSidecar n = new TestSidecar(FakeServer.refusing(), e.address(), f.address());
                TestClient c = n.client()) {
            TestClient.Answer a = c.ask(request(type, timeout));
            assertTrue(a.status() == 502 || a.status() == 503 && !type.equals("submit"), "answered " + a.status());
            n.await(() -> n.sidecar.pendingCount() == 0);
            int sent = e.requests.size() + f.requests.size();
            assertTrue(sent >= 1 && (sent == 1 || !type.equals("submit")), "sent " + sent);
            // Each attempt has ended with its connection, and no second answer comes before the next one.
            for (FakeServer s : new FakeServer[] {e, f}) {
                for (int i = s.requests.size(); i > 0; i--) {
                    s.awaitEnd();
                }
            }
            assertEquals(404, c.ask("GET /other HTTP/1.1\r\nHost: x\r\n\r\n").status());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "Content-Length: 9\r\n", "Transfer-Encoding: chunked\r\n", "Connection: close\r\n"})
    void anAnswerThatAResetEndsIsNeverServed(String headers) throws Exception {
        FakeServer.Script reset = (r, w) -> {
            w.text(OK + headers + "\r\n4\r\nhalf\r\n".substring(0, 8));
            w.reset();
        };
        try (FakeServer e = new FakeServer(reset);
                FakeServer f = new FakeServer(reset);
                TestSidecar n = new TestSidecar(FakeServer.refusing(), e.address(), f.address());
                TestClient c = n.client()) {
            assertEquals(502, c.ask(TestClient.submit("50")).status());
            assertEquals(1, e.requests.size() + f.requests.size());
        }
    }
}
