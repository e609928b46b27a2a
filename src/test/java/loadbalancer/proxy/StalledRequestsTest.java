package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.TestClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** What attempts that an endpoint never answers do to those that come after them. */
class StalledRequestsTest {
    private static final int STALLED = 4;
    private static final int SERVED_BETWEEN = 100;
    private static final int REQUESTS_AFTER_TIMEOUT = 40;
    private static final int MAX_TRIES = 4;

    /** Counts the submits that have reached the endpoint, which never answers them. */
    private final Semaphore stalled = new Semaphore(0);

    private final List<TestClient> waiting = new ArrayList<>();

    @AfterEach
    void closeClients() throws IOException {
        for (TestClient client : waiting) {
            client.close();
        }
    }

    @Test
    void servesOtherRequestsWhileSomeStall() throws Exception {
        FakeServer.Script stallsSubmits = (request, wire) -> {
            if (request.headers().get("request-class").equals("submit")) {
                stalled.release();
            } else {
                wire.ok("done");
            }
        };
        try (ProxySetup setup = ProxySetup.withEndpoints(stallsSubmits)) {
            serve(setup, SERVED_BETWEEN);
            for (int i = 0; i < STALLED; i++) {
                waiting.add(stallOne(setup));
                serve(setup, SERVED_BETWEEN);
            }
            assertEquals(STALLED, waiting.size());
        }
    }

    @Test
    void keepsEndpointAfterSingleTimeout() throws Exception {
        FakeServer.Script stallsOneObject = (request, wire) -> {
            if (request.line().contains("silent")) {
                return;
            }
            takeTime();
            wire.ok("done");
        };
        try (ProxySetup setup = ProxySetup.withEndpoints(stallsOneObject)) {
            serve(setup, SERVED_BETWEEN);
            // No other request is made meanwhile.
            String silent = TestClient.status("4").replace("obj=k", "obj=silent");
            assertEquals(502, setup.client().exchange(silent).status());
            int rejected = 0;
            for (int i = 0; i < REQUESTS_AFTER_TIMEOUT; i++) {
                rejected += setup.client().exchange(TestClient.status("5")).status() == 503 ? 1 : 0;
            }
            assertTrue(rejected < REQUESTS_AFTER_TIMEOUT / 2, rejected + " rejected");
        }
    }

    @Test
    void admitsMoreToEndpointThatReportsCapacity() throws Exception {
        FakeServer.Script reportsLowLoad = (request, wire) -> {
            if (request.headers().get("request-class").equals("submit")) {
                stalled.release();
                return;
            }
            takeTime();
            wire.answer("200 OK", "Server-Load: util=0.1,qps=10\r\n", "done");
        };
        try (ProxySetup setup = ProxySetup.withEndpoints(reportsLowLoad)) {
            serve(setup, SERVED_BETWEEN);
            waiting.add(stallOne(setup));
            waiting.add(stallOne(setup));
            // It has answered one request at a time and has two in flight: without its reports, two of a hundred
            // further ones would be admitted.
            TestClient third = null;
            for (int i = 0; third == null && i < MAX_TRIES; i++) {
                third = sendSubmit(setup);
            }
            assertNotNull(third);
            waiting.add(third);
        }
    }

    // Long enough that a test's own pauses are no lateness beside it.
    private static void takeTime() {
        try {
            Thread.sleep(20);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // The policy may reject a request now and then; so many have to be served within the bound.
    private static void serve(ProxySetup setup, int wanted) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakeServer.TIMEOUT_SECONDS);
        for (int served = 0; served < wanted; ) {
            assertTrue(System.nanoTime() < end, "only " + served + " served");
            if (setup.client().exchange(TestClient.status("5")).status() == 200) {
                served++;
            }
        }
    }

    private TestClient stallOne(ProxySetup setup) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakeServer.TIMEOUT_SECONDS);
        while (System.nanoTime() < end) {
            TestClient client = sendSubmit(setup);
            if (client != null) {
                return client;
            }
        }
        throw new AssertionError("no further submit reached the endpoint");
    }

    // The client of a request that has reached the endpoint, or null if it was rejected.
    private TestClient sendSubmit(ProxySetup setup) throws Exception {
        TestClient client = setup.sidecar().client();
        client.send(TestClient.submit("60"));
        CompletableFuture<Boolean> rejected = CompletableFuture.supplyAsync(() -> {
            try {
                return client.read() != null;
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
        while (!rejected.isDone()) {
            if (stalled.tryAcquire(10, TimeUnit.MILLISECONDS)) {
                return client;
            }
        }
        client.close();
        return null;
    }
}
