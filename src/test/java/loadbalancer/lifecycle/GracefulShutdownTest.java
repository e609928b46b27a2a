package loadbalancer.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.TestClient;
import loadbalancer.testing.TestSidecar;
import org.junit.jupiter.api.Test;

/** The graceful shutdown of a sidecar in this process. */
class GracefulShutdownTest {
    private static final Runnable NOTHING = () -> {};

    private static TestSidecar newSidecar(FakeServer endpoint) throws Exception {
        return new TestSidecar(FakeServer.refusing(), endpoint.address());
    }

    private static FakeServer newSilentEndpoint() throws IOException {
        return new FakeServer((request, wire) -> {});
    }

    private static void shutDown(TestSidecar sidecar, Runnable whenDrained) {
        sidecar.group.next().execute(() -> sidecar.server.shutDown(whenDrained));
    }

    private static void awaitDrained(CountDownLatch drained) throws InterruptedException {
        assertTrue(drained.await(FakeServer.TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }

    @Test
    void failsPendingRequestBeforeProcessIsKilled() throws Exception {
        CountDownLatch drained = new CountDownLatch(1);
        try (FakeServer silent = newSilentEndpoint();
                TestSidecar sidecar = newSidecar(silent);
                TestClient client = sidecar.client()) {
            // A timeout far beyond the time that a stopped process has.
            client.send(TestClient.submit("60"));
            silent.awaitRequest();
            shutDown(sidecar, drained::countDown);
            assertEquals(502, client.read().status());
            assertNull(client.read());
            awaitDrained(drained);
        }
    }

    @Test
    void answersRequestCompletedAtEndOfShutdown() throws Exception {
        try (FakeServer silent = newSilentEndpoint();
                TestSidecar sidecar = newSidecar(silent);
                TestClient complete = sidecar.client();
                TestClient incomplete = sidecar.client()) {
            String request = TestClient.submit("60");
            incomplete.send(request.substring(0, request.length() - 1));
            complete.send(TestClient.submit("60"));
            silent.awaitRequest();
            shutDown(sidecar, NOTHING);
            assertEquals(502, complete.read().status());
            incomplete.send(request.substring(request.length() - 1));
            TestClient.Response answer = incomplete.read();
            // A request that was incomplete for too long may have been answered with 408 already.
            assertTrue(answer.status() == 503 || answer.status() == 408, "answered " + answer.status());
            assertNull(incomplete.read());
            assertEquals(1, silent.requests.size());
        }
    }

    @Test
    void servesOldAndNewConnectionsAfterStop() throws Exception {
        CountDownLatch drained = new CountDownLatch(1);
        try (FakeServer endpoint = new FakeServer((request, wire) -> wire.ok("done"));
                TestSidecar sidecar = newSidecar(endpoint);
                TestClient old = sidecar.client()) {
            assertEquals(200, old.exchange(TestClient.status("5")).status());
            String request = TestClient.status("5");
            EventLoop loop = sidecar.group.next();
            // In one turn of the loop, so that both come in time however slow the machine is.
            try (TestClient late = loop.submit(() -> {
                        sidecar.server.shutDown(drained::countDown);
                        old.send(request);
                        return sidecar.client();
                    })
                    .get()) {
                assertEquals(200, old.read().status());
                assertEquals(200, late.exchange(TestClient.status("5")).status());
                assertNull(old.read());
                assertNull(late.read());
            }
            awaitDrained(drained);
        }
    }
}
