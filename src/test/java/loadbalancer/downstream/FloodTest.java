package loadbalancer.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.TestClient;
import loadbalancer.testing.TestSidecar;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Clients that send much at once, and go: nothing is sent on for them, and others are served. */
class FloodTest {
    private static final int PIPELINED = 300;
    private static final int LEAVING = 200;
    private static final long HUGE = 60_000_000;

    private static void assertServed(TestSidecar n) throws Exception {
        try (TestClient good = n.client()) {
            assertEquals("done", good.ask(TestClient.pay("50")).body());
        }
    }

    private static long flooded(FakeServer e) {
        return e.requests.stream()
                .filter(r -> !r.headers().get("request-class").equals("pay"))
                .count();
    }

    @ParameterizedTest
    @ValueSource(strings = {"stay", "close", "half", "reset"})
    void ofManyPipelinedRequestsNoneIsSentOn(String way) throws Exception {
        try (FakeServer e = new FakeServer((r, w) -> w.ok("done"));
                TestSidecar n = new TestSidecar(FakeServer.refusing(), e.address());
                TestClient c = n.client()) {
            StringBuilder all = new StringBuilder();
            for (int i = 0; i < PIPELINED; i++) {
                all.append(i % 2 == 0 ? TestClient.status("50") : TestClient.submit("50"));
            }
            // The loop finds the end of the connection behind them, where there is one.
            n.call(() -> {
                c.send(all.toString());
                if (!way.equals("stay")) {
                    c.leave(way);
                }
                return null;
            });
            if (way.equals("stay")) {
                assertEquals(400, c.read().status());
            }
            n.await(() -> n.server.connections() == 0);
            assertServed(n);
            assertEquals(0, flooded(e));
        }
    }

    // With a connection that has rested an attempt would be written in the turn in which its request is read.
    @ParameterizedTest
    @ValueSource(strings = {"close", "half", "reset"})
    void whatManyClientsAskAndLeaveAtOnceIsNotSentOnOnceTheyAreGone(String way) throws Exception {
        List<TestClient> clients = new ArrayList<>();
        try (FakeServer e = new FakeServer((r, w) -> w.ok("done"));
                TestSidecar n = new TestSidecar(FakeServer.refusing(), e.address())) {
            assertServed(n);
            n.group.next().schedule(() -> {}, 100, TimeUnit.MILLISECONDS).get();
            n.call(() -> {
                for (int i = 0; i < LEAVING; i++) {
                    TestClient c = n.client();
                    c.send(TestClient.status("50"));
                    c.leave(way);
                    clients.add(c);
                }
                return null;
            });
            n.await(() -> n.server.connections() == 0 && n.sidecar.pendingCount() == 0);
            assertServed(n);
            assertEquals(0, flooded(e));
        } finally {
            for (TestClient c : clients) {
                c.close();
            }
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "POST /api HTTP/1.1~Request-Id: 1~Request-Class: submit~Content-Length: 60000000~~ | 413",
                "POST /api HTTP/1.1~Request-Id: 1~Request-Class: submit~Transfer-Encoding: chunked~~3938700~ | 413",
                "GET /api HTTP/1.1~X: | 400",
                "nonsense | 400"
            })
    void aHugeMessageIsAnsweredWithoutBeingRead(String first, int status) throws Exception {
        try (FakeServer e = new FakeServer((r, w) -> w.ok("done"));
                TestSidecar n = new TestSidecar(FakeServer.refusing(), e.address());
                TestClient c = n.client()) {
            c.send(first.replace("~", "\r\n"));
            long sent = sendUntilStopped(c);
            assertEquals(status, c.read().status());
            assertTrue(sent < HUGE, "all of it was taken");
            n.await(() -> n.server.connections() == 0);
            assertServed(n);
            assertEquals(0, flooded(e));
        }
    }

    // The other side reads no more, and breaks the connection in the end.
    private static long sendUntilStopped(TestClient c) {
        String piece = "x".repeat(100_000);
        long sent = 0;
        try {
            for (; sent < HUGE; sent += piece.length()) {
                c.send(piece);
            }
        } catch (IOException x) {
            // broken, as it should be
        }
        return sent;
    }
}
