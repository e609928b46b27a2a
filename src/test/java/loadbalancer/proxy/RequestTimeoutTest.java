package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.eventloop.LoopLateness;
import loadbalancer.testing.DeferredResponses;
import loadbalancer.testing.TestClient;
import loadbalancer.testing.TestSidecar;
import org.junit.jupiter.api.Test;

/** The end of a request at its deadline, and what a late event loop takes off its timeout. */
class RequestTimeoutTest {
    @Test
    void failsRequestOfSilentEndpointAndClosesConnection() throws Exception {
        try (ProxySetup setup = ProxySetup.withEndpoints(ProxySetup.SILENT)) {
            assertEquals(502, setup.client().exchange(TestClient.submit("0.4")).status());
            setup.endpoint(0).awaitClose();
            assertEquals(1, setup.requests().size());
        }
    }

    @Test
    void servesNextRequestAfterTimeout() throws Exception {
        try (ProxySetup setup = ProxySetup.withEndpoints(new DeferredResponses())) {
            assertEquals(502, setup.client().exchange(TestClient.submit("0.3")).status());
            setup.endpoint(0).awaitClose();
            setup.endpoint(0).script(ProxySetup.OK);
            assertEquals("done", setup.askUntilServed());
        }
    }

    @Test
    void leavesMostOfShortTimeoutToAttempt() {
        assertEquals(2, LoopLateness.safetyMargin(20, 0), 1e-9);
        assertEquals(25, LoopLateness.safetyMargin(1000, 0), 1e-9);
        assertEquals(2 + 6, LoopLateness.safetyMargin(20, 500), 1e-9);
        assertEquals(25 + 100, LoopLateness.safetyMargin(1000, 50), 1e-9);
    }

    @Test
    void reducesTimeoutByLoopLatenessUntilForgotten() throws Exception {
        DeferredResponses responses = new DeferredResponses();
        try (ProxySetup setup = ProxySetup.withEndpoints(responses)) {
            TestSidecar sidecar = setup.sidecar();
            // Timers are due at their old times, and run as if the loop had been blocked.
            sidecar.advance(400);
            sidecar.await(() -> sidecar.dispatcher.lateness().current() > 300);
            setup.client().send(TestClient.submit("2"));
            // 2 s, less 0.6 s at most for the late loop, and 25 ms.
            String header = setup.endpoint(0).awaitRequest().headers().get("request-timeout");
            double timeout = Double.parseDouble(header);
            assertTrue(timeout > 1.37 && timeout < 1.5, "timeout " + timeout);
            responses.awaitRequest().ok("done");
            assertEquals("done", setup.client().read().body());
            sidecar.advance(15_000);
            sidecar.await(() -> sidecar.dispatcher.lateness().current() < 1000);
        }
    }
}
