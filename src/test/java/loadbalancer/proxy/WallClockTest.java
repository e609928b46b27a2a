package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.TestClient;
import loadbalancer.testing.TestSidecar;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The wall clock is stepped while a sidecar runs: deadlines, drains and slow starts follow the monotonic one. */
class WallClockTest {
    private static final FakeServer.Script OK = (r, w) -> w.ok("done");
    private static final int ASKED = 60;

    @ParameterizedTest
    @ValueSource(longs = {5000, -5000, 3_600_000, -3_600_000})
    void aRequestIsNeitherFailedEarlyNorHeldLonger(long step) throws Exception {
        BlockingQueue<FakeServer.Wire> wires = new LinkedBlockingQueue<>();
        try (FakeServer e = new FakeServer((r, w) -> wires.add(w));
                TestSidecar n = new TestSidecar(FakeServer.refusing(), e.address());
                TestClient c = n.client()) {
            c.send(TestClient.submit("50"));
            FakeServer.Wire first = wires.take();
            n.stepWallClock(step);
            n.turn();
            first.ok("done");
            assertEquals("done", c.read().body());

            c.send(TestClient.submit("0.5"));
            wires.take();
            n.stepWallClock(-step);
            assertEquals(502, c.read().status());
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {3_600_000, -3_600_000})
    void aDrainTakesItsTime(long step) throws Exception {
        CountDownLatch drained = new CountDownLatch(1);
        BlockingQueue<FakeServer.Wire> wires = new LinkedBlockingQueue<>();
        try (FakeServer e = new FakeServer((r, w) -> wires.add(w));
                TestSidecar n = new TestSidecar(FakeServer.refusing(), e.address());
                TestClient c = n.client()) {
            c.send(TestClient.submit("50"));
            FakeServer.Wire held = wires.take();
            n.call(() -> {
                n.server.shutDown(drained::countDown);
                n.stepWallClock(step);
                return null;
            });
            n.turn();
            held.ok("done");
            assertEquals("done", c.read().body());
            assertTrue(drained.await(FakeServer.PATIENCE_S, TimeUnit.SECONDS));
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 30_000, -30_000, 3_600_000, -3_600_000})
    void aServerThatStartsAfterTheStepIsInItsSlowStart(long step) throws Exception {
        try (FakeServer warm = new FakeServer(OK);
                FakeServer cold = new FakeServer(OK);
                TestSidecar n = new TestSidecar(FakeServer.refusing(), warm.address());
                TestClient c = n.client()) {
            for (int i = 0; i < ASKED; i++) {
                c.ask(TestClient.status("5"));
            }
            assertTrue(warm.requests.size() > ASKED / 2, "the warm one got " + warm.requests.size());
            n.stepWallClock(step);
            String started = TestSidecar.host("s1", cold.address(), "ready")
                    .replace("\"born_ms\":0", "\"born_ms\":" + n.wallClock());
            n.tell(true, started);
            for (int i = 0; i < ASKED; i++) {
                c.ask(TestClient.status("5"));
            }
            assertTrue(cold.requests.size() < ASKED / 2, "the cold one got " + cold.requests.size());
        }
    }
}
