package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicReference;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.LateSocket;
import loadbalancer.testing.TestClient;
import loadbalancer.testing.TestSidecar;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The timeout that an endpoint receives is what the client has left when the attempt's first byte goes out. */
class AttemptTimeoutHeaderTest {
    @BeforeEach
    void forgetConnects() {
        LateSocket.forget();
    }

    // The latency objective is the deadline, so that no attempt is given less than the client's time.
    private static ProxySetup create(Class<? extends Channel> sockets, FakeServer.Script... scripts) throws Exception {
        return new ProxySetup(
                configuration -> configuration
                        .replace("\"slo\":1200", "\"slo\":60000")
                        .replace("\"slo\":30000", "\"slo\":60000"),
                sockets,
                scripts);
    }

    // The lower bound shows that it is the client's time, and no shorter timeout of the attempt's own.
    private static void assertTimeout(double minSeconds, double maxSeconds, FakeServer.Request request) {
        double seconds = Double.parseDouble(request.headers().get("request-timeout"));
        assertTrue(seconds > minSeconds && seconds <= maxSeconds, "timeout " + seconds + " of " + maxSeconds);
    }

    @Test
    void sendsClientTimeoutOnFirstAttempt() throws Exception {
        try (ProxySetup setup = create(NioSocketChannel.class, ProxySetup.OK)) {
            assertEquals(200, setup.client().exchange(TestClient.submit("50")).status());
            assertTimeout(30, 50, setup.endpoint(0).awaitRequest());
        }
    }

    @Test
    void sendsRemainingTimeOnRetry() throws Exception {
        AtomicReference<TestSidecar> sidecar = new AtomicReference<>();
        List<FakeServer.Request> sent = new CopyOnWriteArrayList<>();
        FakeServer.Script resetsFirstLate = (request, wire) -> {
            sent.add(request);
            if (sent.size() == 1) {
                sidecar.get().advance(10_000);
                wire.reset();
            } else {
                wire.ok("done");
            }
        };
        try (ProxySetup setup = create(NioSocketChannel.class, resetsFirstLate, resetsFirstLate)) {
            sidecar.set(setup.sidecar());
            assertEquals(
                    "done", setup.client().exchange(TestClient.status("50")).body());
            assertTimeout(40, 50, sent.get(0));
            assertTimeout(0, 40, sent.get(1));
        }
    }

    @Test
    void sendsRemainingTimeAfterLateConnect() throws Exception {
        try (ProxySetup setup = create(LateSocket.class, ProxySetup.OK)) {
            setup.client().send(TestClient.submit("50"));
            Runnable connect = LateSocket.awaitConnect();
            setup.sidecar().advance(10_000);
            connect.run();
            assertEquals(200, setup.client().read().status());
            assertTimeout(0, 40, setup.endpoint(0).awaitRequest());
        }
    }
}
