package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import loadbalancer.testing.DeferredResponses;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.TestClient;
import loadbalancer.testing.TestSidecar;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The wall clock is stepped while a sidecar runs: deadlines, shutdowns and slow starts follow the monotonic one. */
class WallClockTest {
    private static final int REQUESTS = 60;

    @ParameterizedTest
    @ValueSource(longs = {5000, -5000, 3_600_000, -3_600_000})
    void keepsDeadlinesAcrossClockStep(long stepMillis) throws Exception {
        DeferredResponses responses = new DeferredResponses();
        try (ProxySetup setup = ProxySetup.withEndpoints(responses)) {
            setup.client().send(TestClient.submit("50"));
            FakeServer.Connection first = responses.awaitRequest();
            setup.sidecar().stepWallClock(stepMillis);
            setup.sidecar().awaitTurn();
            first.ok("done");
            assertEquals("done", setup.client().read().body());

            setup.client().send(TestClient.submit("0.5"));
            responses.awaitRequest();
            setup.sidecar().stepWallClock(-stepMillis);
            assertEquals(502, setup.client().read().status());
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {3_600_000, -3_600_000})
    void servesRequestInFlightIfClockStepsDuringShutdown(long stepMillis) throws Exception {
        CountDownLatch shutDown = new CountDownLatch(1);
        DeferredResponses responses = new DeferredResponses();
        try (ProxySetup setup = ProxySetup.withEndpoints(responses)) {
            TestSidecar sidecar = setup.sidecar();
            setup.client().send(TestClient.submit("50"));
            FakeServer.Connection inFlight = responses.awaitRequest();
            sidecar.call(() -> {
                sidecar.server.shutDown(shutDown::countDown);
                sidecar.stepWallClock(stepMillis);
                return null;
            });
            sidecar.awaitTurn();
            inFlight.ok("done");
            assertEquals("done", setup.client().read().body());
            assertTrue(shutDown.await(FakeServer.TIMEOUT_SECONDS, TimeUnit.SECONDS));
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 30_000, -30_000, 3_600_000, -3_600_000})
    void limitsEndpointStartedAfterClockStepToSlowStart(long stepMillis) throws Exception {
        try (ProxySetup setup = ProxySetup.withEndpoints(ProxySetup.OK);
                FakeServer starting = new FakeServer(ProxySetup.OK)) {
            FakeServer running = setup.endpoint(0);
            sendRequests(setup);
            assertTrue(running.requests.size() > REQUESTS / 2, "the running one got " + running.requests.size());
            setup.sidecar().stepWallClock(stepMillis);
            String started = TestSidecar.host("s1", starting.address(), "ready")
                    .replace("\"born_ms\":0", "\"born_ms\":" + setup.sidecar().wallClock());
            setup.sidecar().applyList(true, started);
            sendRequests(setup);
            assertTrue(starting.requests.size() < REQUESTS / 2, "the starting one got " + starting.requests.size());
        }
    }

    private static void sendRequests(ProxySetup setup) throws Exception {
        for (int i = 0; i < REQUESTS; i++) {
            setup.client().exchange(TestClient.status("5"));
        }
    }
}
