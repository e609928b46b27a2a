package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.TestClient;
import loadbalancer.testing.TestSidecar;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What the outcome of an attempt means for its request: served, retried, rejected or failed. */
class AttemptOutcomeTest {
    @Test
    void forwardsRequestUnchangedAndReusesConnections() throws Exception {
        try (ProxySetup setup = ProxySetup.withEndpoints(ProxySetup.OK)) {
            TestClient.Response answer = setup.client()
                    .exchange("POST /api?obj=7f%20x HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: 9b1f\r\n"
                            + "Request-Class: pay\r\nIdempotency-Key: k7\r\nRequest-Timeout: 5\r\n"
                            + "Content-Length: 3\r\n\r\nabc");
            assertEquals(200, answer.status());
            assertEquals("done", answer.body());
            FakeServer.Request request = setup.endpoint(0).awaitRequest();
            assertEquals("POST /api?obj=7f%20x HTTP/1.1", request.line());
            assertEquals("9b1f", request.headers().get("request-id"));
            assertEquals("k7", request.headers().get("idempotency-key"));
            double timeout = Double.parseDouble(request.headers().get("request-timeout"));
            assertTrue(timeout > 0 && timeout < 5, "timeout " + timeout);
            assertArrayEquals("abc".getBytes(StandardCharsets.UTF_8), request.body());

            // A connection is quarantined after a response; then it is used again.
            for (int i = 0; setup.requests().size() <= setup.connections() && i < 1000; i++) {
                assertEquals(
                        200, setup.client().exchange(TestClient.status("5")).status());
            }
            assertTrue(setup.requests().size() > setup.connections());
        }
    }

    @Test
    void rejectsRequestIfAllConnectsAreRefused() throws Exception {
        try (TestSidecar sidecar = new TestSidecar(FakeServer.refusing(), FakeServer.refusing());
                TestClient client = sidecar.client()) {
            TestClient.Response answer = client.exchange(TestClient.submit("5"));
            assertEquals(503, answer.status());
            assertTrue(Double.parseDouble(answer.headers().get("retry-after")) > 0);
        }
    }

    @Test
    void retriesNonIdempotentRequestAfterRejection() throws Exception {
        AtomicInteger turn = new AtomicInteger();
        FakeServer.Script rejectsFirst = (request, wire) -> {
            if (turn.getAndIncrement() == 0) {
                wire.answer("503 Full", "Not-Started: 1\r\n", "");
            } else {
                wire.ok("done");
            }
        };
        try (ProxySetup setup = ProxySetup.withEndpoints(rejectsFirst, rejectsFirst)) {
            assertEquals("done", setup.client().exchange(TestClient.submit("5")).body());
            assertEquals(2, setup.requests().size());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"503 Busy", "504 Late", "429 Slow down", "500 Error", "404 What"})
    void failsNonIdempotentRequestAfterErrorResponse(String status) throws Exception {
        FakeServer.Script withRetryAfter = (request, wire) -> wire.answer(status, "Retry-After: 1\r\n", "x");
        FakeServer.Script without = (request, wire) -> wire.answer(status, "", "x");
        try (ProxySetup setup = ProxySetup.withEndpoints(withRetryAfter, without)) {
            TestClient.Response answer = setup.client().exchange(TestClient.submit("5"));
            assertEquals(502, answer.status());
            assertNull(answer.headers().get("retry-after"));
            assertEquals(1, setup.requests().size());
        }
    }

    @Test
    void failsNonIdempotentRequestAfterReset() throws Exception {
        FakeServer.Script resets = (request, wire) -> wire.reset();
        try (ProxySetup setup = ProxySetup.withEndpoints(resets, resets)) {
            assertEquals(502, setup.client().exchange(TestClient.submit("5")).status());
            assertEquals(1, setup.requests().size());
        }
    }

    @Test
    void failsNonIdempotentRequestAfterResetOnReusedConnection() throws Exception {
        try (ProxySetup setup = ProxySetup.withEndpoints(ProxySetup.resettingSecondUse())) {
            int status = setup.client().exchange(TestClient.submit("5")).status();
            for (int i = 0; status == 200 && i < 1000; i++) {
                status = setup.client().exchange(TestClient.submit("5")).status();
            }
            assertEquals(502, status);
            assertEquals(setup.connections() + 1, setup.requests().size());
        }
    }

    @Test
    void retriesIdempotentRequestAfterReset() throws Exception {
        AtomicInteger turn = new AtomicInteger();
        FakeServer.Script resetsFirst = (request, wire) -> {
            if (turn.getAndIncrement() == 0) {
                wire.reset();
            } else {
                wire.ok("done");
            }
        };
        try (ProxySetup setup = ProxySetup.withEndpoints(resetsFirst, resetsFirst)) {
            assertEquals("done", setup.client().exchange(TestClient.status("5")).body());
        }
    }
}
