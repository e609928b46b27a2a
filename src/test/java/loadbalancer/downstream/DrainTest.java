package loadbalancer.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.TestClient;
import loadbalancer.testing.TestSidecar;
import org.junit.jupiter.api.Test;

/** Requests that cross the steps of a drain, on real sockets. */
class DrainTest {
    /** With deadlines this short the steps come soon after the signal: idle connections close 500 ms after it. */
    private static final long CLOSING_MS = 500;

    private static final long DEADLINE_MS = 1000;

    private static TestSidecar node(String... endpoints) throws Exception {
        return new TestSidecar(
                TestSidecar.config("127.0.0.1:0", FakeServer.refusing(), 1024, endpoints)
                        .replace("\"slo\":1200", "\"slo\":900")
                        .replace("\"slo\":30000", "\"slo\":900")
                        .replace("\"deadline\":60000", "\"deadline\":" + DEADLINE_MS),
                NioSocketChannel.class);
    }

    /** A turn of the loop that stands still from when it is reached until it may go on. */
    private record LateTurn(CountDownLatch reached, CountDownLatch go) {
        void await() throws InterruptedException {
            assertTrue(reached.await(FakeServer.PATIENCE_S, TimeUnit.SECONDS));
        }
    }

    /** Begins a drain whose loop stands still so many milliseconds after that. */
    private static LateTurn drainWithLateTurn(TestSidecar n, CountDownLatch drained, long after) {
        LateTurn late = new LateTurn(new CountDownLatch(1), new CountDownLatch(1));
        EventLoop loop = n.group.next();
        loop.execute(() -> {
            n.server.shutDown(drained::countDown);
            loop.schedule(
                    () -> {
                        late.reached.countDown();
                        late.go.await();
                        return null;
                    },
                    after,
                    TimeUnit.MILLISECONDS);
        });
        return late;
    }

    private static void awaitDrained(CountDownLatch drained) throws InterruptedException {
        assertTrue(drained.await(FakeServer.PATIENCE_S, TimeUnit.SECONDS));
    }

    @Test
    void aRequestThatCrossedTheCloseOfItsConnectionIsServedOnANewOne() throws Exception {
        CountDownLatch drained = new CountDownLatch(1);
        try (FakeServer e = new FakeServer((r, w) -> w.ok("done"));
                TestSidecar n = node(e.address());
                TestClient idle = n.client()) {
            assertEquals("done", idle.ask(TestClient.status("5")).body());
            n.group.next().execute(() -> n.server.shutDown(drained::countDown));
            assertNull(idle.read());
            try (TestClient again = n.client()) {
                TestClient.Answer a = again.ask(TestClient.status("5"));
                assertEquals("done", a.body());
                assertEquals("close", a.headers().get("connection"));
                assertNull(again.read());
            }
            awaitDrained(drained);
        }
    }

    @Test
    void allConnectionsThatWaitToBeAcceptedInALateTurnAreServedBeforeTheListenerCloses() throws Exception {
        int waiting = 40;
        long stopAccepting = (long) ShutdownSchedule.of(DEADLINE_MS).stopAcceptingAtMillis();
        CountDownLatch drained = new CountDownLatch(1);
        List<TestClient> clients = new ArrayList<>();
        try (FakeServer e = new FakeServer((r, w) -> w.ok("done"));
                TestSidecar n = node(e.address())) {
            LateTurn late = drainWithLateTurn(n, drained, stopAccepting - 1);
            late.await();
            for (int i = 0; i < waiting; i++) {
                TestClient c = n.client();
                clients.add(c);
                c.send(TestClient.status("5"));
            }
            late.go.countDown();
            for (TestClient c : clients) {
                assertNotNull(c.read(), "closed without an answer");
            }
            awaitDrained(drained);
        } finally {
            for (TestClient c : clients) {
                c.close();
            }
        }
    }

    @Test
    void aRequestThatCameInALateTurnIsAnsweredBeforeIdleConnectionsClose() throws Exception {
        CountDownLatch drained = new CountDownLatch(1);
        try (FakeServer e = new FakeServer((r, w) -> w.ok("done"));
                TestSidecar n = node(e.address());
                TestClient c = n.client()) {
            assertEquals("done", c.ask(TestClient.status("5")).body());
            LateTurn late = drainWithLateTurn(n, drained, CLOSING_MS - 1);
            // The loop stands still until both are due, so that it runs one right behind the other.
            n.call(() -> {
                Thread.sleep(2 * CLOSING_MS);
                return null;
            });
            late.await();
            c.send(TestClient.status("5"));
            late.go.countDown();
            assertEquals("done", c.read().body());
            assertNull(c.read());
            awaitDrained(drained);
        }
    }
}
