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
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import loadbalancer.protocol.ProtocolLimits;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.TestClient;
import loadbalancer.testing.TestSidecar;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Two events in one turn of the loop, or one in the middle of the other, on real sockets. */
public class CrossingTest {
    /** A socket that takes little at a time, so that a body is written in parts. */
    public static final class NarrowSocket extends NioSocketChannel {
        /** A socket with a small buffer. */
        public NarrowSocket() {
            config().setSendBufferSize(4096);
        }
    }

    private static String config(String cancel, String... endpoints) throws IOException {
        return TestSidecar.config("127.0.0.1:0", FakeServer.refusing(), 1024, endpoints)
                .replace("\"cancel\":true", "\"cancel\":" + cancel);
    }

    @ParameterizedTest
    @CsvSource({"true, 503", "false, 502"})
    void aBreakProvesThatNothingRanOnlyBeforeTheLastByteIsWritten(boolean before, int status) throws Exception {
        try (ServerSocket endpoint = new ServerSocket()) {
            endpoint.setReceiveBufferSize(4096);
            endpoint.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            try (TestSidecar n = new TestSidecar(
                            config("true", "127.0.0.1:" + endpoint.getLocalPort()), NarrowSocket.class);
                    TestClient c = n.client()) {
                // Far more than both buffers hold, or little enough for them.
                int size = before ? ProtocolLimits.MAX_BODY_BYTES : 100;
                c.send(TestClient.submit("50")
                        .replace(
                                "Content-Length: 3\r\n\r\nabc",
                                "Content-Length: " + size + "\r\n\r\n" + "x".repeat(size)));
                try (Socket s = endpoint.accept()) {
                    assertTrue(s.getInputStream().read() >= 0);
                    if (!before) {
                        // All of it is there, so all of it was written.
                        byte[] all = new byte[4096];
                        String body = "x".repeat(size);
                        for (int got = 1; !new String(all, 0, got, StandardCharsets.UTF_8).contains(body); ) {
                            got += s.getInputStream().read(all, got, all.length - got);
                        }
                    }
                    s.setSoLinger(true, 0);
                }
                assertEquals(status, c.read().status());
            }
        }
    }

    @ParameterizedTest
    @CsvSource({"true, true", "false, true", "true, false", "false, false"})
    void anAnswerAndTheDeadlineInOneTurnMakeOneAnswer(String cancel, boolean withLength) throws Exception {
        BlockingQueue<FakeServer.Wire> wires = new LinkedBlockingQueue<>();
        try (FakeServer e = new FakeServer((r, w) -> wires.add(w));
                TestSidecar n = new TestSidecar(config(cancel, e.address()), NioSocketChannel.class);
                TestClient c = n.client()) {
            c.send(TestClient.submit("1"));
            FakeServer.Wire w = wires.take();
            // The loop is kept busy until both are due.
            n.call(() -> {
                if (withLength) {
                    w.ok("done");
                } else {
                    w.text("HTTP/1.1 200 OK\r\n\r\ndone");
                    w.socket().close();
                }
                Thread.sleep(1100);
                return null;
            });
            int status = c.read().status();
            assertTrue(status == 200 || status == 502, "answered " + status);
            n.await(() -> n.sidecar.pendingCount() == 0);
            // Nothing is left over that would answer the next request.
            assertEquals(404, c.ask("GET /other HTTP/1.1\r\nHost: x\r\n\r\n").status());
            assertEquals(1, e.requests.size());
        }
    }

    @ParameterizedTest
    @CsvSource({"true, true", "true, false", "false, true", "false, false"})
    void aClientThatAsksAndLeavesInOneGoIsForgotten(String cancel, boolean half) throws Exception {
        BlockingQueue<FakeServer.Wire> wires = new LinkedBlockingQueue<>();
        try (FakeServer e = new FakeServer((r, w) -> wires.add(w));
                TestSidecar n = new TestSidecar(config(cancel, e.address()), NioSocketChannel.class);
                Socket client = new Socket(InetAddress.getLoopbackAddress(), n.port)) {
            // The loop sees the request and the end of the connection together.
            n.call(() -> {
                client.getOutputStream().write(TestClient.submit("50").getBytes(StandardCharsets.UTF_8));
                if (half) {
                    client.shutdownOutput();
                } else {
                    client.close();
                }
                return null;
            });
            n.await(() -> n.server.connections() == 0);
            if (cancel.equals("false") && n.call(n.sidecar::pendingCount) > 0) {
                // What was sent may not be called off; its answer reaches nobody.
                wires.take().ok("late");
            }
            n.await(() -> n.sidecar.pendingCount() == 0);
            e.script((r, w) -> w.ok("next"));
            try (TestClient c = n.client()) {
                assertEquals("next", c.ask(TestClient.submit("50")).body());
            }
            assertTrue(e.requests.size() <= 2, "sent " + e.requests.size());
        }
    }

    @Test
    void aDrainToldWhileAnAnswerIsOutLeavesThatAnswerAndNothingNew() throws Exception {
        BlockingQueue<FakeServer.Wire> wires = new LinkedBlockingQueue<>();
        try (FakeServer e = new FakeServer((r, w) -> wires.add(w));
                FakeServer f = new FakeServer((r, w) -> w.ok("new"));
                TestSidecar n = new TestSidecar(config("true", e.address()), NioSocketChannel.class);
                TestClient c = n.client()) {
            c.send(TestClient.submit("50"));
            FakeServer.Wire w = wires.take();
            n.tell(
                    false,
                    TestSidecar.host("s0", e.address(), "draining"),
                    TestSidecar.host("s1", f.address(), "ready"));
            w.ok("finished");
            assertEquals("finished", c.read().body());
            // Its connection rests no longer than the endpoint lasts, and is not used again.
            e.awaitEnd();
            assertEquals("new", c.ask(TestClient.submit("50")).body());
            assertEquals(1, e.requests.size());
        }
    }

    @Test
    void withNoListAtAllARequestIsRefusedAtOnce() throws Exception {
        try (TestSidecar n = new TestSidecar(config("true"), NioSocketChannel.class);
                TestClient c = n.client()) {
            TestClient.Answer a = c.ask(TestClient.submit("50"));
            assertEquals(503, a.status());
            assertTrue(Double.parseDouble(a.headers().get("retry-after")) > 0);
        }
    }
}
