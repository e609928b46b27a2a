package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.LateSocket;
import loadbalancer.testing.TestClient;
import loadbalancer.testing.TestSidecar;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** An attempt tells its endpoint no more time than is left to the client when its first byte goes out. */
class AttemptTimeoutHeaderTest {
    private static final FakeServer.Script OK = (r, w) -> w.ok("done");

    @BeforeEach
    void forget() {
        LateSocket.forget();
    }

    private static String config(FakeServer... endpoints) throws Exception {
        String[] addresses = new String[endpoints.length];
        for (int i = 0; i < endpoints.length; i++) {
            addresses[i] = endpoints[i].address();
        }
        // Answers are worth as much up to the end, so that no attempt is given less than the client's time.
        return TestSidecar.config("127.0.0.1:0", FakeServer.refusing(), 1024, addresses)
                .replace("\"slo\":1200", "\"slo\":60000")
                .replace("\"slo\":30000", "\"slo\":60000");
    }

    // Also more than so much: it is the client's time that is told, and no shorter one.
    private static void assertTold(double least, double most, FakeServer.Request r) {
        double told = Double.parseDouble(r.headers().get("request-timeout"));
        assertTrue(told > least && told <= most, "told " + told + " of " + most);
    }

    @Test
    void aFirstAttemptIsToldTheClientsTime() throws Exception {
        try (FakeServer e = new FakeServer(OK);
                TestSidecar n = new TestSidecar(config(e), NioSocketChannel.class);
                TestClient c = n.client()) {
            assertEquals(200, c.ask(TestClient.submit("50")).status());
            assertTold(30, 50, e.awaitRequest());
        }
    }

    @Test
    void aFurtherAttemptIsToldWhatTheFirstHasLeft() throws Exception {
        AtomicReference<TestSidecar> node = new AtomicReference<>();
        List<FakeServer.Request> sent = new CopyOnWriteArrayList<>();
        FakeServer.Script late = (r, w) -> {
            sent.add(r);
            if (sent.size() == 1) {
                node.get().advance(10_000);
                w.reset();
            } else {
                w.ok("done");
            }
        };
        try (FakeServer e = new FakeServer(late);
                FakeServer f = new FakeServer(late);
                TestSidecar n = new TestSidecar(config(e, f), NioSocketChannel.class);
                TestClient c = n.client()) {
            node.set(n);
            assertEquals("done", c.ask(TestClient.status("50")).body());
            assertTold(40, 50, sent.get(0));
            assertTold(0, 40, sent.get(1));
        }
    }

    @Test
    void anAttemptWhoseConnectionCameUpLateIsToldWhatIsLeftThen() throws Exception {
        try (FakeServer e = new FakeServer(OK);
                TestSidecar n = new TestSidecar(config(e), LateSocket.class);
                TestClient c = n.client()) {
            c.send(TestClient.submit("50"));
            Runnable comesUp = LateSocket.awaitConnect();
            n.advance(10_000);
            comesUp.run();
            assertEquals(200, c.read().status());
            assertTold(0, 40, e.awaitRequest());
        }
    }
}
