package loadbalancer.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
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
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import loadbalancer.protocol.ProtocolLimits;
import loadbalancer.proxy.CrossingTest;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.TestClient;
import loadbalancer.testing.TestSidecar;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Responses that end with their connection: whole after an orderly end of the stream, and after nothing else. */
class ResponseWithoutLengthTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\n\r\n";
    private static final FakeServer.Script OK = (r, w) -> w.ok("elsewhere");
    private static final long PAUSE_BELOW_STALL_MS = 400;
    private static final long PAUSE_ABOVE_STALL_MS = 600;

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

    private static FakeServer.Script thenClose(String text) {
        return (r, w) -> {
            w.text(text);
            w.socket().close();
        };
    }

    private static FakeServer.Script thenReset(String text) {
        return (r, w) -> {
            w.text(text);
            w.reset();
        };
    }

    private static TestSidecar node(String... endpoints) throws Exception {
        return new TestSidecar(FakeServer.refusing(), endpoints);
    }

    /** What an unsafe request to the only endpoint is answered; it is sent once, and its connection is closed. */
    private static TestClient.Answer askOnce(FakeServer.Script script) throws Exception {
        try (FakeServer e = new FakeServer(script);
                TestSidecar n = node(e.address());
                TestClient c = n.client()) {
            TestClient.Answer answer = c.ask(TestClient.submit("50"));
            e.awaitEnd();
            assertEquals(1, e.requests.size());
            n.await(() -> n.sidecar.pendingCount() == 0);
            return answer;
        }
    }

    private static void assertServed(String body, TestClient.Answer answer) {
        assertEquals(200, answer.status());
        assertEquals(Integer.toString(body.length()), answer.headers().get("content-length"));
        assertEquals(body, answer.body());
    }

    private static void assertFailed(TestClient.Answer answer) {
        assertEquals(502, answer.status());
        assertEquals("", answer.body());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                HEAD,
                "HTTP/1.0 200 OK\r\n\r\n",
                "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
                "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n\r\n",
                "HTTP/1.1 100 Continue\r\n\r\n" + HEAD,
                "HTTP/1.1 103 Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + HEAD
            })
    void oneThatTheServerEndsInOrderIsServed(String head) throws Exception {
        assertServed("who knows", askOnce(thenClose(head + "who knows")));
        assertServed("", askOnce(thenClose(head)));
    }

    @ParameterizedTest
    @CsvSource({"65536, 200", "65537, 502"})
    void itsBodyIsBounded(int size, int status) throws Exception {
        String body = "x".repeat(size);
        TestClient.Answer answer = askOnce(thenClose(HEAD + body));
        assertEquals(status, answer.status());
        assertEquals(status == 200 ? body : "", answer.body());
    }

    @Test
    void eachOneHasAConnectionOfItsOwn() throws Exception {
        // With room for one connection to all endpoints, each has to be released before the next.
        try (FakeServer e = new FakeServer(thenClose(HEAD + "done"));
                TestSidecar n = new TestSidecar(4, FakeServer.refusing(), "ask", e.address());
                TestClient c = n.client()) {
            for (int i = 1; i <= 20; i++) {
                assertServed("done", c.ask(TestClient.submit("50")));
                e.awaitEnd();
                assertEquals(i, e.connections());
            }
        }
    }

    @Test
    void aCloseInTheSameReadAsTheHeadEndsIt() throws Exception {
        assertServedInOneTurn(HEAD + "done", "done");
        assertServedInOneTurn(HEAD, "");
    }

    // The loop stands still until head, body and end are all there.
    private static void assertServedInOneTurn(String text, String body) throws Exception {
        BlockingQueue<FakeServer.Wire> wires = new LinkedBlockingQueue<>();
        try (FakeServer e = new FakeServer((r, w) -> wires.add(w));
                TestSidecar n = node(e.address());
                TestClient c = n.client()) {
            c.send(TestClient.submit("50"));
            FakeServer.Wire w = wires.take();
            n.call(() -> {
                w.text(text);
                w.socket().close();
                return null;
            });
            assertServed(body, c.read());
        }
    }

    @ParameterizedTest
    @CsvSource({PAUSE_BELOW_STALL_MS + ", 200", PAUSE_ABOVE_STALL_MS + ", 502"})
    void itMayPauseForLessThanAStall(long pause, int status) throws Exception {
        BlockingQueue<FakeServer.Wire> wires = new LinkedBlockingQueue<>();
        try (FakeServer e = new FakeServer((r, w) -> wires.add(w));
                TestSidecar n = node(e.address());
                TestClient c = n.client()) {
            c.send(TestClient.submit("50"));
            FakeServer.Wire w = wires.take();
            for (String piece : new String[] {HEAD, "in ", "three ", "pieces"}) {
                long before = n.call(n.activity::socketEvents);
                try {
                    w.text(piece);
                } catch (IOException stalled) {
                    break;
                }
                n.await(() -> n.activity.socketEvents() > before);
                n.advance(pause);
                if (status != 200) {
                    break;
                }
            }
            if (status == 200) {
                w.socket().shutdownOutput();
            }
            TestClient.Answer answer = c.read();
            assertEquals(status, answer.status());
            assertEquals(status == 200 ? "in three pieces" : "", answer.body());
            e.awaitEnd();
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
    void aResetIsNoEnd(String text) throws Exception {
        assertFailed(askOnce(thenReset(text)));
    }

    @Test
    void aResetInTheMiddleOfItsBodyIsNoEnd() throws Exception {
        BlockingQueue<FakeServer.Wire> wires = new LinkedBlockingQueue<>();
        try (FakeServer e = new FakeServer((r, w) -> wires.add(w));
                TestSidecar n = node(e.address());
                TestClient c = n.client()) {
            c.send(TestClient.submit("50"));
            FakeServer.Wire w = wires.take();
            long before = n.call(n.activity::socketEvents);
            w.text(HEAD + "who ");
            n.await(() -> n.activity.socketEvents() > before);
            w.reset();
            assertFailed(c.read());
            assertEquals(1, e.requests.size());
        }
    }

    // A blocking channel is closed as it is; a socket would end its sending first, and only then reset.
    @ParameterizedTest
    @CsvSource({"false, 502", "true, 200"})
    void aResetForBytesThatTheServerLeftUnreadIsNoEndUnlessOneCameBefore(boolean ended, int status) throws Exception {
        try (ServerSocketChannel endpoint = ServerSocketChannel.open()) {
            endpoint.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            int port = ((InetSocketAddress) endpoint.getLocalAddress()).getPort();
            try (TestSidecar n = node("127.0.0.1:" + port);
                    TestClient c = n.client()) {
                c.send(TestClient.submit("50"));
                try (SocketChannel s = endpoint.accept()) {
                    assertEquals(1, s.read(ByteBuffer.allocate(1)));
                    s.write(StandardCharsets.US_ASCII.encode(HEAD + "who knows"));
                    if (ended) {
                        s.shutdownOutput();
                    }
                }
                TestClient.Answer answer = c.read();
                assertEquals(status, answer.status());
                assertEquals(status == 200 ? "who knows" : "", answer.body());
            }
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"Connection timed out", "No route to host", "Software caused connection abort"})
    void aReadThatFailsOtherwiseIsNoEnd(String failure) throws Exception {
        BrokenRouteSocket.failure = failure;
        try (FakeServer e = new FakeServer(thenClose(HEAD + "who knows"));
                TestSidecar n = new TestSidecar(
                        TestSidecar.config("127.0.0.1:0", FakeServer.refusing(), 1024, e.address()),
                        BrokenRouteSocket.class);
                TestClient c = n.client()) {
            assertFailed(c.ask(TestClient.submit("50")));
            assertEquals(1, e.requests.size());
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void anEndBeforeTheRequestIsWrittenIsNoEndAndProvesThatNothingRan(boolean reset) throws Exception {
        try (ServerSocket endpoint = new ServerSocket()) {
            endpoint.setReceiveBufferSize(4096);
            endpoint.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            String config = TestSidecar.config(
                    "127.0.0.1:0", FakeServer.refusing(), 1024, "127.0.0.1:" + endpoint.getLocalPort());
            try (TestSidecar n = new TestSidecar(config, CrossingTest.NarrowSocket.class);
                    TestClient c = n.client()) {
                int size = ProtocolLimits.MAX_BODY_BYTES;
                c.send(TestClient.submit("50")
                        .replace(
                                "Content-Length: 3\r\n\r\nabc",
                                "Content-Length: " + size + "\r\n\r\n" + "x".repeat(size)));
                try (Socket s = endpoint.accept()) {
                    assertTrue(s.getInputStream().read() >= 0);
                    s.getOutputStream().write((HEAD + "who knows").getBytes(StandardCharsets.US_ASCII));
                    if (reset) {
                        s.setSoLinger(true, 0);
                    } else {
                        s.shutdownOutput();
                        assertEquals(503, c.read().status());
                    }
                }
                if (reset) {
                    assertEquals(503, c.read().status());
                }
            }
        }
    }

    @Test
    void aServerThatEndsItsSendingAndHangsHasEndedIt() throws Exception {
        assertServed("done", askOnce((r, w) -> {
            w.text(HEAD + "done");
            w.socket().shutdownOutput();
        }));
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
    void anOrderlyEndCompletesNothingElse(String text) throws Exception {
        assertFailed(askOnce(thenClose(text)));
    }

    @Test
    void oneWithALengthIsWholeBeforeItsConnectionCloses() throws Exception {
        String text = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: close\r\n\r\ndone";
        assertServed("done", askOnce(thenClose(text)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"204 No Content", "304 Not Modified"})
    void oneThatHasNoBodyIsWholeWithItsHead(String status) throws Exception {
        try (FakeServer e = new FakeServer((r, w) -> w.text("HTTP/1.1 " + status + "\r\n\r\n"));
                TestSidecar n = node(e.address());
                TestClient c = n.client()) {
            assertFailed(c.ask(TestClient.submit("50")));
            assertEquals(1, e.requests.size());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {HEAD + "done", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"})
    void aSecondOneBehindItIsNoPartOfIt(String second) throws Exception {
        assertFailed(askOnce(thenClose(HEAD + "done" + second)));
    }

    @Test
    void wordsOfTheProtocolInItsBodyAreNoSecondOne() throws Exception {
        String body = "as HTTP/1.1 200 OK tells\r\nand HTTP/1.1\r\n";
        assertServed(body, askOnce(thenClose(HEAD + body)));
    }

    @ParameterizedTest
    @CsvSource({
        "500 Error, false, 502, 1",
        "500 Error, true, 502, 1",
        "503 Full, false, 200, 2",
        "503 Full, true, 502, 1"
    })
    void oneThatServesNothingTellsWhetherItRanOnlyWhenItIsWhole(String status, boolean reset, int told, int attempts)
            throws Exception {
        AtomicInteger turn = new AtomicInteger();
        String text = "HTTP/1.1 " + status + "\r\n" + (status.startsWith("503") ? "Not-Started: 1\r\n" : "") + "\r\nno";
        FakeServer.Script first = (r, w) -> {
            if (turn.getAndIncrement() > 0) {
                w.ok("elsewhere");
            } else if (reset) {
                thenReset(text).on(r, w);
            } else {
                thenClose(text).on(r, w);
            }
        };
        try (FakeServer e = new FakeServer(first);
                FakeServer f = new FakeServer(first);
                TestSidecar n = node(e.address(), f.address());
                TestClient c = n.client()) {
            assertEquals(told, c.ask(TestClient.submit("50")).status());
            assertEquals(attempts, e.requests.size() + f.requests.size());
        }
    }

    @ParameterizedTest
    @CsvSource({"submit, false", "pay, false", "status, false", "submit, true"})
    void neitherAWholeOneNorABrokenUnsafeOneIsAskedForTwice(String kind, boolean reset) throws Exception {
        FakeServer.Script script = reset ? thenReset(HEAD + "done") : thenClose(HEAD + "done");
        try (FakeServer e = new FakeServer(script);
                FakeServer f = new FakeServer(script);
                TestSidecar n = node(e.address(), f.address());
                TestClient c = n.client()) {
            String request =
                    switch (kind) {
                        case "pay" -> TestClient.pay("50");
                        case "submit" -> TestClient.submit("50");
                        default -> TestClient.status("50");
                    };
            assertEquals(reset ? 502 : 200, c.ask(request).status());
            n.await(() -> n.sidecar.pendingCount() == 0);
            assertEquals(1, e.requests.size() + f.requests.size());
        }
    }

    @Test
    void aBrokenOneToASafeRequestGoesElsewhere() throws Exception {
        AtomicInteger turn = new AtomicInteger();
        FakeServer.Script firstBreaks =
                (r, w) -> (turn.getAndIncrement() == 0 ? thenReset(HEAD + "half") : OK).on(r, w);
        try (FakeServer e = new FakeServer(firstBreaks);
                FakeServer f = new FakeServer(firstBreaks);
                TestSidecar n = node(e.address(), f.address());
                TestClient c = n.client()) {
            assertEquals("elsewhere", c.ask(TestClient.status("50")).body());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"full", "half", "reset"})
    void itsEndAndItsClientsLeavingInOneTurnLeaveNothing(String how) throws Exception {
        BlockingQueue<FakeServer.Wire> wires = new LinkedBlockingQueue<>();
        try (FakeServer e = new FakeServer((r, w) -> wires.add(w));
                TestSidecar n = node(e.address());
                TestClient leaving = n.client()) {
            leaving.send(TestClient.submit("50"));
            FakeServer.Wire w = wires.take();
            n.call(() -> {
                w.text(HEAD + "done");
                w.socket().close();
                leaving.leave(how);
                return null;
            });
            n.await(() -> n.sidecar.pendingCount() == 0 && n.server.connections() == 0);
            e.script(OK);
            try (TestClient c = n.client()) {
                assertServed("elsewhere", c.ask(TestClient.submit("50")));
            }
            assertEquals(2, e.requests.size());
        }
    }

    @Test
    void itsEndInADrainIsServedBeforeTheProcessEnds() throws Exception {
        BlockingQueue<FakeServer.Wire> wires = new LinkedBlockingQueue<>();
        CountDownLatch drained = new CountDownLatch(1);
        try (FakeServer e = new FakeServer((r, w) -> wires.add(w));
                TestSidecar n = node(e.address());
                TestClient c = n.client()) {
            c.send(TestClient.submit("50"));
            FakeServer.Wire w = wires.take();
            n.call(() -> {
                w.text(HEAD + "done");
                n.server.shutDown(drained::countDown);
                w.socket().close();
                return null;
            });
            TestClient.Answer answer = c.read();
            assertNotNull(answer);
            assertServed("done", answer);
            c.close();
            assertTrue(drained.await(FakeServer.PATIENCE_S, TimeUnit.SECONDS));
        }
    }
}
