package loadbalancer.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.TestClient;
import loadbalancer.testing.TestSidecar;
import org.junit.jupiter.api.Test;

/** Requests that cross the steps of a graceful shutdown, on real sockets. */
class GracefulShutdownTest {
    /** With deadlines this short the steps come soon: idle connections are closed 500 ms after the signal. */
    private static final long CLOSE_IDLE_MILLIS = 500;

    private static final long DEADLINE_MILLIS = 1000;

    private final CountDownLatch finished = new CountDownLatch(1);

    @Test
    void servesRequestOnNewConnectionAfterIdleOneClosed() throws Exception {
        try (SidecarFixture fixture = SidecarFixture.startWithDeadline(DEADLINE_MILLIS)) {
            TestSidecar sidecar = fixture.sidecar;
            TestClient idle = fixture.client();
            assertEquals("done", idle.exchange(TestClient.status("5")).body());
            sidecar.group.next().execute(() -> sidecar.server.shutDown(finished::countDown));
            assertNull(idle.read());
            TestClient reconnected = fixture.client();
            TestClient.Response answer = reconnected.exchange(TestClient.status("5"));
            assertEquals("done", answer.body());
            assertEquals("close", answer.headers().get("connection"));
            assertNull(reconnected.read());
            awaitFinished();
        }
    }

    @Test
    void answersBacklogOfLateTurnBeforeListenerCloses() throws Exception {
        int waitingClients = 40;
        long stopAcceptingMillis = (long) ShutdownSchedule.of(DEADLINE_MILLIS).stopAcceptingAtMillis();
        try (SidecarFixture fixture = SidecarFixture.startWithDeadline(DEADLINE_MILLIS)) {
            LateTurn lateTurn = shutDownWithLateTurn(fixture.sidecar, stopAcceptingMillis - 1);
            lateTurn.await();
            List<TestClient> clients = new ArrayList<>();
            for (int i = 0; i < waitingClients; i++) {
                TestClient client = fixture.client();
                clients.add(client);
                client.send(TestClient.status("5"));
            }
            lateTurn.resume();
            for (TestClient client : clients) {
                assertNotNull(client.read(), "closed without an answer");
            }
            awaitFinished();
        }
    }

    @Test
    void answersRequestOfLateTurnBeforeIdleConnectionsClose() throws Exception {
        try (SidecarFixture fixture = SidecarFixture.startWithDeadline(DEADLINE_MILLIS)) {
            TestClient client = fixture.client();
            assertEquals("done", client.exchange(TestClient.status("5")).body());
            LateTurn lateTurn = shutDownWithLateTurn(fixture.sidecar, CLOSE_IDLE_MILLIS - 1);
            // The loop stands still until both are due, so that it runs one right behind the other.
            fixture.onLoop(() -> {
                Thread.sleep(2 * CLOSE_IDLE_MILLIS);
                return null;
            });
            lateTurn.await();
            client.send(TestClient.status("5"));
            lateTurn.resume();
            assertEquals("done", client.read().body());
            assertNull(client.read());
            awaitFinished();
        }
    }

    @Test
    void doesNotWaitForRejectedRequest() throws Exception {
        try (TestSidecar sidecar = new TestSidecar(FakeServer.refusing());
                TestClient client = sidecar.client()) {
            TestClient.Response answer =
                    client.exchange("POST /api HTTP/1.1\r\nRequest-Id: 1\r\nRequest-Class: submit\r\n"
                            + "Content-Length: 99999999\r\n\r\nbegun");
            assertEquals(413, answer.status());
            sidecar.group.next().execute(() -> sidecar.server.shutDown(finished::countDown));
            awaitFinished();
        }
    }

    /** A turn of the loop that stands still from when it is reached until it is resumed. */
    private record LateTurn(CountDownLatch reached, CountDownLatch resumed) {
        void await() throws InterruptedException {
            assertTrue(reached.await(FakeServer.TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }

        void resume() {
            resumed.countDown();
        }
    }

    /** Begins a shutdown whose loop stands still so many milliseconds after that. */
    private LateTurn shutDownWithLateTurn(TestSidecar sidecar, long delayMillis) {
        LateTurn lateTurn = new LateTurn(new CountDownLatch(1), new CountDownLatch(1));
        EventLoop loop = sidecar.group.next();
        loop.execute(() -> {
            sidecar.server.shutDown(finished::countDown);
            loop.schedule(
                    () -> {
                        lateTurn.reached.countDown();
                        lateTurn.resumed.await();
                        return null;
                    },
                    delayMillis,
                    TimeUnit.MILLISECONDS);
        });
        return lateTurn;
    }

    private void awaitFinished() throws InterruptedException {
        assertTrue(finished.await(FakeServer.TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }
}
