package loadbalancer.upstream;

import static loadbalancer.upstream.CloseDelimitedResponses.HEAD;
import static loadbalancer.upstream.CloseDelimitedResponses.assertFailed;
import static loadbalancer.upstream.CloseDelimitedResponses.sendOnce;
import static loadbalancer.upstream.CloseDelimitedResponses.sidecar;
import static loadbalancer.upstream.CloseDelimitedResponses.thenClose;
import static loadbalancer.upstream.CloseDelimitedResponses.thenReset;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import loadbalancer.protocol.ProtocolLimits;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.SmallSendBufferSocket;
import loadbalancer.testing.TestClient;
import loadbalancer.testing.TestSidecar;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Responses that a reset, a failed read or an early end of the stream interrupts: they are never served. */
class InterruptedResponseTest {
    /** A socket whose end of stream shows as another failure than a reset, as after a broken route. */
    public static final class BrokenRouteSocket extends NioSocketChannel {
        private static volatile String failure;

        @Override
        protected int doReadBytes(ByteBuf bytes) throws Exception {
            int read = super.doReadBytes(bytes);
            if (read < 0) {
                throw new IOException(failure);
            }
            return read;
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 20",
                "HTTP/1.1 200 OK\r\nServer-Lo",
                HEAD,
                HEAD + "who knows",
                "HTTP/1.0 200 OK\r\n\r\nwho knows",
                "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwho knows"
            })
    void failsResponseEndedByReset(String text) throws Exception {
        assertFailed(sendOnce(thenReset(text)));
    }

    @Test
    void failsResponseResetWithinBody() throws Exception {
        try (DeferredExchange exchange = DeferredExchange.begin()) {
            long before = exchange.sidecar.call(exchange.sidecar.activity::socketEvents);
            exchange.connection.text(HEAD + "who ");
            exchange.sidecar.await(() -> exchange.sidecar.activity.socketEvents() > before);
            exchange.connection.reset();
            assertFailed(exchange.client.read());
            assertEquals(1, exchange.endpoint.requests.size());
        }
    }

    // A blocking channel is closed as it is; a socket would end its sending first, and only then reset.
    @ParameterizedTest
    @CsvSource({"false, 502", "true, 200"})
    void failsResponseResetForUnreadBytesUnlessStreamEnded(boolean ended, int status) throws Exception {
        try (ServerSocketChannel endpoint = ServerSocketChannel.open()) {
            endpoint.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            int port = ((InetSocketAddress) endpoint.getLocalAddress()).getPort();
            try (TestSidecar sidecar = sidecar("127.0.0.1:" + port);
                    TestClient client = sidecar.client()) {
                client.send(TestClient.submit("50"));
                try (SocketChannel connection = endpoint.accept()) {
                    assertEquals(1, connection.read(ByteBuffer.allocate(1)));
                    connection.write(StandardCharsets.US_ASCII.encode(HEAD + "who knows"));
                    if (ended) {
                        connection.shutdownOutput();
                    }
                }
                TestClient.Response answer = client.read();
                assertEquals(status, answer.status());
                assertEquals(status == 200 ? "who knows" : "", answer.body());
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"Connection timed out", "No route to host", "Software caused connection abort"})
    void failsResponseAfterReadError(String failure) throws Exception {
        BrokenRouteSocket.failure = failure;
        try (FakeServer endpoint = new FakeServer(thenClose(HEAD + "who knows"));
                TestSidecar sidecar = new TestSidecar(
                        TestSidecar.config("127.0.0.1:0", FakeServer.refusing(), 1024, endpoint.address()),
                        BrokenRouteSocket.class);
                TestClient client = sidecar.client()) {
            assertFailed(client.exchange(TestClient.submit("50")));
            assertEquals(1, endpoint.requests.size());
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void rejectsRequestWhenStreamEndsBeforeRequestIsWritten(boolean reset) throws Exception {
        try (ServerSocket endpoint = new ServerSocket()) {
            endpoint.setReceiveBufferSize(4096);
            endpoint.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            String config = TestSidecar.config(
                    "127.0.0.1:0", FakeServer.refusing(), 1024, "127.0.0.1:" + endpoint.getLocalPort());
            try (TestSidecar sidecar = new TestSidecar(config, SmallSendBufferSocket.class);
                    TestClient client = sidecar.client()) {
                client.send(TestRequests.submitWithBody("x".repeat(ProtocolLimits.MAX_BODY_BYTES)));
                try (Socket connection = endpoint.accept()) {
                    assertTrue(connection.getInputStream().read() >= 0);
                    connection.getOutputStream().write((HEAD + "who knows").getBytes(StandardCharsets.US_ASCII));
                    if (reset) {
                        connection.setSoLinger(true, 0);
                    } else {
                        connection.shutdownOutput();
                        assertEquals(503, client.read().status());
                    }
                }
                if (reset) {
                    assertEquals(503, client.read().status());
                }
            }
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
                "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nConnection: close\r\n\r\nhalf",
                "HTTP/1.0 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n",
                "HTTP/1.1 100 Continue\r\n\r\n",
                "HTTP/1.1 200 OK\r\nServer-Lo",
                ""
            })
    void failsIncompleteResponseEndedInOrder(String text) throws Exception {
        assertFailed(sendOnce(thenClose(text)));
    }
}
