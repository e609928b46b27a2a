package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import loadbalancer.protocol.ProtocolLimits;
import loadbalancer.testing.DeferredResponses;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.SmallSendBufferSocket;
import loadbalancer.testing.TestClient;
import loadbalancer.testing.TestSidecar;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Two events in one pass of the loop, or one in the middle of the other, on real sockets. */
class ConcurrentEventsTest {
    @ParameterizedTest
    @CsvSource({"true, 503", "false, 502"})
    void resetProvesNotExecutedOnlyBeforeLastByteIsWritten(boolean beforeLastByte, int status) throws Exception {
        try (ServerSocket endpoint = new ServerSocket()) {
            endpoint.setReceiveBufferSize(4096);
            endpoint.setSoTimeout(FakeServer.TIMEOUT_SECONDS * 1000);
            endpoint.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            String address = "127.0.0.1:" + endpoint.getLocalPort();
            String configuration = TestSidecar.config("127.0.0.1:0", FakeServer.refusing(), 1024, address);
            try (TestSidecar sidecar = new TestSidecar(configuration, SmallSendBufferSocket.class);
                    TestClient client = sidecar.client()) {
                // Far more than both buffers can take, or little enough for them.
                int size = beforeLastByte ? ProtocolLimits.MAX_BODY_BYTES : 100;
                String body = "x".repeat(size);
                client.send(TestClient.submit("50")
                        .replace("Content-Length: 3\r\n\r\nabc", "Content-Length: " + size + "\r\n\r\n" + body));
                try (Socket socket = endpoint.accept()) {
                    socket.setSoTimeout(FakeServer.TIMEOUT_SECONDS * 1000);
                    assertTrue(socket.getInputStream().read() >= 0);
                    if (!beforeLastByte) {
                        // What has arrived completely was written completely.
                        readUntil(socket, body);
                    }
                    socket.setSoLinger(true, 0);
                }
                assertEquals(status, client.read().status());
            }
        }
    }

    private static void readUntil(Socket socket, String body) throws IOException {
        byte[] bytes = new byte[4096];
        int length = 1;
        while (!new String(bytes, 0, length, StandardCharsets.UTF_8).contains(body)) {
            length += socket.getInputStream().read(bytes, length, bytes.length - length);
        }
    }

    @ParameterizedTest
    @CsvSource({"true, true", "false, true", "true, false", "false, false"})
    void sendsOneResponseIfEndpointAnswersAtDeadline(boolean cancellation, boolean withLength) throws Exception {
        DeferredResponses responses = new DeferredResponses();
        try (ProxySetup setup = ProxySetup.withCancellation(cancellation, NioSocketChannel.class, responses)) {
            TestSidecar sidecar = setup.sidecar();
            TestClient client = setup.client();
            client.send(TestClient.submit("1"));
            FakeServer.Connection wire = responses.awaitRequest();
            // The loop is kept busy until both are due.
            sidecar.call(() -> {
                if (withLength) {
                    wire.ok("done");
                } else {
                    wire.text("HTTP/1.1 200 OK\r\n\r\ndone");
                    wire.socket().close();
                }
                Thread.sleep(1100);
                return null;
            });
            int status = client.read().status();
            assertTrue(status == 200 || status == 502, "answered " + status);
            sidecar.await(() -> sidecar.dispatcher.pendingCount() == 0);
            // Nothing is left over that would answer the next request.
            assertEquals(
                    404,
                    client.exchange("GET /other HTTP/1.1\r\nHost: x\r\n\r\n").status());
            assertEquals(1, setup.requests().size());
        }
    }

    @ParameterizedTest
    @CsvSource({"true, true", "true, false", "false, true", "false, false"})
    void forgetsClientThatDisconnectsRightAfterItsRequest(boolean cancellation, boolean halfClose) throws Exception {
        DeferredResponses responses = new DeferredResponses();
        try (ProxySetup setup = ProxySetup.withCancellation(cancellation, NioSocketChannel.class, responses);
                Socket leaving = new Socket(InetAddress.getLoopbackAddress(), setup.sidecar().port)) {
            TestSidecar sidecar = setup.sidecar();
            // The loop sees the request and the end of the connection together.
            sidecar.call(() -> {
                leaving.getOutputStream().write(TestClient.submit("50").getBytes(StandardCharsets.UTF_8));
                if (halfClose) {
                    leaving.shutdownOutput();
                } else {
                    leaving.close();
                }
                return null;
            });
            sidecar.await(() -> sidecar.server.connections() == 0);
            if (!cancellation && sidecar.call(sidecar.dispatcher::pendingCount) > 0) {
                // An attempt that was sent may not be cancelled; its response reaches nobody.
                responses.awaitRequest().ok("late");
            }
            sidecar.await(() -> sidecar.dispatcher.pendingCount() == 0);
            setup.endpoint(0).script((request, wire) -> wire.ok("next"));
            assertEquals(
                    "next", setup.client().exchange(TestClient.submit("50")).body());
            int sent = setup.requests().size();
            assertTrue(sent <= 2, "sent " + sent);
        }
    }

    @Test
    void servesResponseInFlightWhenEndpointStartsDraining() throws Exception {
        DeferredResponses responses = new DeferredResponses();
        try (ProxySetup setup = ProxySetup.withEndpoints(responses);
                FakeServer replacement = new FakeServer((request, wire) -> wire.ok("new"))) {
            FakeServer draining = setup.endpoint(0);
            setup.client().send(TestClient.submit("50"));
            FakeServer.Connection wire = responses.awaitRequest();
            setup.sidecar()
                    .applyList(
                            false,
                            TestSidecar.host("s0", draining.address(), "draining"),
                            TestSidecar.host("s1", replacement.address(), "ready"));
            wire.ok("finished");
            assertEquals("finished", setup.client().read().body());
            // Its connection is quarantined no longer than the endpoint lasts, and is not used again.
            draining.awaitClose();
            assertEquals("new", setup.client().exchange(TestClient.submit("50")).body());
            assertEquals(1, draining.requests.size());
        }
    }

    @Test
    void rejectsRequestWithoutEndpointList() throws Exception {
        try (ProxySetup setup = ProxySetup.withEndpoints()) {
            TestClient.Response answer = setup.client().exchange(TestClient.submit("50"));
            assertEquals(503, answer.status());
            assertTrue(Double.parseDouble(answer.headers().get("retry-after")) > 0);
        }
    }
}
