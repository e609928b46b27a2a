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

/** A connection to an endpoint is established after something else has happened: what may still be written on it. */
class LateConnectionTest {
    @BeforeEach
    void forgetConnects() {
        LateSocket.forget();
    }

    private static ProxySetup create(boolean cancellation, FakeServer.Script... scripts) throws Exception {
        return ProxySetup.withCancellation(cancellation, LateSocket.class, scripts);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void neverSendsRequestOfDisconnectedClient(boolean cancellation) throws Exception {
        try (ProxySetup setup = create(cancellation, ProxySetup.OK)) {
            TestSidecar sidecar = setup.sidecar();
            Runnable connect;
            try (TestClient leaving = sidecar.client()) {
                leaving.send(TestClient.submit("50"));
                connect = LateSocket.awaitConnect();
            }
            sidecar.await(() -> sidecar.dispatcher.pendingCount() == 0);
            assertNextRequestIsFirstOnConnection(setup, connect);
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void neverSendsRequestFailedAtShutdown(boolean cancellation) throws Exception {
        try (ProxySetup setup = create(cancellation, ProxySetup.OK)) {
            setup.client().send(TestClient.submit("50"));
            Runnable connect = LateSocket.awaitConnect();
            setup.sidecar().call(() -> {
                setup.sidecar().dispatcher.failPending();
                return null;
            });
            assertEquals(502, setup.client().read().status());
            assertNextRequestIsFirstOnConnection(setup, connect);
        }
    }

    // The endpoint has paid for the connection: it is kept, and what was dropped did not go out on it.
    private static void assertNextRequestIsFirstOnConnection(ProxySetup setup, Runnable connect) throws Exception {
        FakeServer endpoint = setup.endpoint(0);
        connect.run();
        endpoint.awaitConnection();
        setup.sidecar().awaitTurn();
        try (TestClient next = setup.sidecar().client()) {
            assertEquals("done", next.exchange(TestClient.status("5")).body());
        }
        assertEquals(1, endpoint.requests.size());
        assertEquals("status", endpoint.requests.get(0).headers().get("request-class"));
        assertEquals(1, endpoint.connections());
    }

    @Test
    void neverSendsRequestAfterDeadlineOnLateLoop() throws Exception {
        try (ProxySetup setup = create(true, ProxySetup.OK)) {
            setup.client().send(TestClient.submit("50"));
            Runnable connect = LateSocket.awaitConnect();
            // The timers have not run yet: only the check before the first byte can tell.
            setup.sidecar().advance(50_000);
            connect.run();
            assertEquals(502, setup.client().read().status());
            assertEquals(List.of(), setup.requests());
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
    void neverSendsToRemovedEndpoint(String change, boolean snapshot) throws Exception {
        try (ProxySetup setup = create(true, ProxySetup.OK);
                FakeServer next = new FakeServer(ProxySetup.OK)) {
            FakeServer removed = setup.endpoint(0);
            setup.client().send(TestClient.submit("50"));
            Runnable connect = LateSocket.awaitConnect();
            publish(change, snapshot, setup.sidecar(), removed.address(), next.address());
            connect.run();
            removed.awaitConnection();
            removed.awaitClose();
            assertEquals(List.of(), removed.requests);
        }
    }

    private static void publish(String change, boolean snapshot, TestSidecar sidecar, String removed, String next)
            throws Exception {
        switch (change) {
            case "draining", "gone" -> sidecar.applyList(snapshot, TestSidecar.host("s0", removed, change));
            case "moved" -> sidecar.applyList(snapshot, TestSidecar.host("s0", next, "ready"));
            case "reborn" -> sidecar.applyList(snapshot, startedAt(1, removed));
            case "missing" -> sidecar.applyList(snapshot, TestSidecar.host("s1", next, "ready"));
            default -> {
                sidecar.applyList(snapshot, TestSidecar.host("s0", removed, "gone"));
                sidecar.applyList(snapshot, TestSidecar.host("s0", removed, "ready"));
            }
        }
    }

    private static String startedAt(long unixMillis, String address) {
        return TestSidecar.host("s0", address, "ready").replace("\"born_ms\":0", "\"born_ms\":" + unixMillis);
    }

    @Test
    void neverRetriesWithKeyAfterDeduplicationWindow() throws Exception {
        FakeServer.Script resets = (request, wire) -> wire.reset();
        try (ProxySetup setup = create(true, resets, resets)) {
            setup.client().send(TestClient.pay("50"));
            LateSocket.awaitConnect().run();
            Runnable connectOfRetry = LateSocket.awaitConnect();
            setup.sidecar().advance(5000);
            connectOfRetry.run();
            assertEquals(503, setup.client().read().status());
            assertEquals(1, setup.requests().size());
        }
    }
}
