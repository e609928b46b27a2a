package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.concurrent.TimeUnit;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.TestClient;
import org.junit.jupiter.api.Test;

/** Which connections to endpoints carry a second request. */
class ConnectionReuseTest {
    @Test
    void neverReusesConnectionClosedByEndpoint() throws Exception {
        FakeServer.Script closesOutput = (request, wire) -> {
            wire.ok("done");
            wire.socket().shutdownOutput();
        };
        try (ProxySetup setup = ProxySetup.withEndpoints(closesOutput)) {
            assertEquals(200, setup.client().exchange(TestClient.submit("5")).status());
            setup.endpoint(0).awaitClose();
            assertEquals(200, setup.client().exchange(TestClient.submit("5")).status());
            assertEquals(2, setup.connections());
        }
    }

    @Test
    void closesIdleConnectionsAtConnectionLimit() throws Exception {
        // With four sockets one connection to all endpoints together may be open.
        try (ProxySetup setup = new ProxySetup(
                configuration -> configuration.replace("\"sockets\":1024", "\"sockets\":4"),
                NioSocketChannel.class,
                ProxySetup.OK,
                ProxySetup.OK)) {
            for (int i = 0; i < 20; i++) {
                assertEquals(
                        200, setup.client().exchange(TestClient.status("5")).status());
            }
            assertTrue(!setup.endpoint(0).requests.isEmpty()
                    && !setup.endpoint(1).requests.isEmpty());
        }
    }

    @Test
    void stopsReusingConnectionsIdleLongerThanEndpointAllows() throws Exception {
        // It breaks any connection that is used a second time, as if that had been idle for too long.
        try (ProxySetup setup = ProxySetup.withEndpoints(ProxySetup.resettingSecondUse())) {
            assertEquals(200, setup.client().exchange(TestClient.submit("5")).status());
            long from = System.nanoTime();
            Thread.sleep(200);
            assertEquals(502, setup.client().exchange(TestClient.submit("5")).status());
            long idleMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - from);
            setup.askUntilServed();
            // Idle for as long as that again, the connection must not be reused.
            Thread.sleep(idleMillis);
            assertEquals("done", setup.askUntilServed());
            assertEquals(setup.connections() + 1, setup.requests().size());
        }
    }
}
