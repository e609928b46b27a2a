package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.LateSocket;
import loadbalancer.testing.TestClient;
import loadbalancer.testing.TestSidecar;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** A connection to an endpoint comes up after something else has happened: what may still be written on it. */
class LateConnectionTest {
    private static final FakeServer.Script OK = (r, w) -> w.ok("done");

    @BeforeEach
    void forget() {
        LateSocket.forget();
    }

    private static TestSidecar node(String cancel, String... endpoints) throws Exception {
        return new TestSidecar(
                TestSidecar.config("127.0.0.1:0", FakeServer.refusing(), 1024, endpoints)
                        .replace("\"cancel\":true", "\"cancel\":" + cancel),
                LateSocket.class);
    }

    private static String born(String address, long at) {
        return TestSidecar.host("s0", address, "ready").replace("\"born_ms\":0", "\"born_ms\":" + at);
    }

    @ParameterizedTest
    @ValueSource(strings = {"true", "false"})
    void aRequestWhoseClientLeftMeanwhileIsNotSent(String cancel) throws Exception {
        try (FakeServer e = new FakeServer(OK);
                TestSidecar n = node(cancel, e.address())) {
            Runnable comesUp;
            try (TestClient c = n.client()) {
                c.send(TestClient.submit("50"));
                comesUp = LateSocket.awaitConnect();
            }
            n.await(() -> n.sidecar.pendingCount() == 0);
            assertTheNextRequestIsTheFirst(e, n, comesUp);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"true", "false"})
    void aRequestThatWasFailedAtTheEndOfADrainIsNotSent(String cancel) throws Exception {
        try (FakeServer e = new FakeServer(OK);
                TestSidecar n = node(cancel, e.address());
                TestClient c = n.client()) {
            c.send(TestClient.submit("50"));
            Runnable comesUp = LateSocket.awaitConnect();
            n.group.next().submit(n.sidecar::failPending).get();
            assertEquals(502, c.read().status());
            assertTheNextRequestIsTheFirst(e, n, comesUp);
        }
    }

    // The endpoint has paid for the connection: it is kept, and what was dropped did not go out on it.
    private static void assertTheNextRequestIsTheFirst(FakeServer e, TestSidecar n, Runnable comesUp) throws Exception {
        comesUp.run();
        e.awaitConnection();
        n.turn();
        try (TestClient c = n.client()) {
            assertEquals("done", c.ask(TestClient.status("5")).body());
        }
        assertEquals(1, e.requests.size());
        assertEquals("status", e.requests.get(0).headers().get("request-class"));
        assertEquals(1, e.connections());
    }

    @Test
    void aRequestWhoseTimeIsOverIsNotSentThoughTheLoopIsLate() throws Exception {
        try (FakeServer e = new FakeServer(OK);
                TestSidecar n = node("true", e.address());
                TestClient c = n.client()) {
            c.send(TestClient.submit("50"));
            Runnable comesUp = LateSocket.awaitConnect();
            // The timers have not run yet: only the look before the first byte can tell.
            n.advance(50_000);
            comesUp.run();
            assertEquals(502, c.read().status());
            assertEquals(List.of(), e.requests);
        }
    }

    @ParameterizedTest
    @CsvSource({
        "draining, false",
        "gone, false",
        "moved, false",
        "reborn, false",
        "missing, true",
        "moved, true",
        "gone and back, false"
    })
    void nothingGoesToAnEndpointThatHasEndedMeanwhile(String what, boolean whole) throws Exception {
        try (FakeServer old = new FakeServer(OK);
                FakeServer next = new FakeServer(OK);
                TestSidecar n = node("true", old.address());
                TestClient c = n.client()) {
            c.send(TestClient.submit("50"));
            Runnable comesUp = LateSocket.awaitConnect();
            switch (what) {
                case "draining", "gone" -> n.tell(whole, TestSidecar.host("s0", old.address(), what));
                case "moved" -> n.tell(whole, TestSidecar.host("s0", next.address(), "ready"));
                case "reborn" -> n.tell(whole, born(old.address(), 1));
                case "missing" -> n.tell(whole, TestSidecar.host("s1", next.address(), "ready"));
                default -> {
                    n.tell(whole, TestSidecar.host("s0", old.address(), "gone"));
                    n.tell(whole, TestSidecar.host("s0", old.address(), "ready"));
                }
            }
            comesUp.run();
            old.awaitConnection();
            old.awaitEnd();
            assertEquals(List.of(), old.requests);
        }
    }

    @Test
    void aKeyedRepeatIsNotSentOnceNoEndpointWouldDiscardIt() throws Exception {
        FakeServer.Script breaks = (r, w) -> w.reset();
        try (FakeServer e = new FakeServer(breaks);
                FakeServer f = new FakeServer(breaks);
                TestSidecar n = node("true", e.address(), f.address());
                TestClient c = n.client()) {
            c.send(TestClient.pay("50"));
            LateSocket.awaitConnect().run();
            Runnable repeatComesUp = LateSocket.awaitConnect();
            n.advance(5000);
            repeatComesUp.run();
            assertEquals(503, c.read().status());
            assertEquals(1, e.requests.size() + f.requests.size());
        }
    }
}
