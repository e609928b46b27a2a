package loadbalancer.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.io.IOException;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import loadbalancer.protocol.ProtocolLimits;
import loadbalancer.proxy.CrossingTest;
import loadbalancer.testing.FailingSocket;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.TestClient;
import loadbalancer.testing.TestSidecar;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** System calls that fail in ways that Linux documents: what has run, what is answered, and that no loop spins. */
class FailingSystemCallTest {
    private static final FakeServer.Script OK = (r, w) -> w.ok("done");
    private static final int MAX_ATTEMPTS = 6;
    private static final int ASKED = 50;
    private static final long MAX_TURNS = 400;

    @AfterEach
    void mend() {
        FailingSocket.fail(FailingSocket.Call.NONE, "");
    }

    private static TestSidecar node(String... endpoints) throws Exception {
        return new TestSidecar(
                TestSidecar.config("127.0.0.1:0", FakeServer.refusing(), 1024, endpoints), FailingSocket.class);
    }

    @ParameterizedTest
    @CsvSource({
        "CONNECT, Cannot assign requested address",
        "CONNECT, Network is unreachable",
        "CONNECT, No buffer space available",
        "CONNECT, No route to host",
        "FINISH_CONNECT, Connection timed out",
        "FINISH_CONNECT, No route to host",
        "WRITE, No buffer space available",
        "WRITE, Broken pipe"
    })
    void beforeTheLastByteIsWrittenNothingRanAndEachRequestCostsAFewCalls(FailingSocket.Call call, String how)
            throws Exception {
        try (FakeServer e = new FakeServer(OK);
                FakeServer f = new FakeServer(OK);
                TestSidecar n = node(e.address(), f.address());
                TestClient c = n.client()) {
            FailingSocket.fail(call, how);
            for (int i = 0; i < ASKED; i++) {
                assertEquals(503, c.ask(TestClient.submit("50")).status());
            }
            assertTrue(FailingSocket.FAILED.get() > 0);
            assertTrue(FailingSocket.FAILED.get() <= ASKED * MAX_ATTEMPTS, "failed " + FailingSocket.FAILED);
            assertEquals(0, e.requests.size() + f.requests.size());
            n.await(() -> n.sidecar.pendingCount() == 0);
            FailingSocket.fail(FailingSocket.Call.NONE, "");
            assertServedAgain(n, c);
        }
    }

    // The endpoints' percentages have risen and fall while the clock runs on.
    private static void assertServedAgain(TestSidecar n, TestClient c) throws Exception {
        int status = 0;
        for (int i = 0; status != 200 && i < 2000; i++) {
            n.advance(100);
            n.turn();
            status = c.ask(TestClient.submit("50")).status();
        }
        assertEquals(200, status);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Software caused connection abort",
                "Too many open files in system",
                "No buffer space available",
                "Connection timed out"
            })
    void anAcceptThatFailsLeavesTheListenerAndMakesNoLoop(String how) throws Exception {
        try (FakeServer e = new FakeServer(OK);
                TestSidecar n = new TestSidecar(FakeServer.refusing(), e.address())) {
            long before = n.call(() -> {
                n.listener.pipeline().fireExceptionCaught(new IOException(how));
                return n.activity.turns();
            });
            try (TestClient c = n.client()) {
                assertEquals(200, c.ask(TestClient.submit("50")).status());
            }
            long turns = n.call(n.activity::turns) - before;
            assertTrue(turns < MAX_TURNS, "made " + turns + " turns");
        }
    }

    /** Hands out the connections that are accepted. */
    private static final class Accepted extends ChannelInboundHandlerAdapter {
        private final BlockingQueue<Channel> channels = new LinkedBlockingQueue<>();

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            channels.add((Channel) message);
            ctx.fireChannelRead(message);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"Connection timed out", "No route to host", "Connection reset"})
    void aClientWhoseConnectionBreaksHasLeft(String how) throws Exception {
        Accepted accepted = new Accepted();
        try (FakeServer e = new FakeServer((r, w) -> {});
                TestSidecar n = new TestSidecar(FakeServer.refusing(), e.address())) {
            n.call(() -> n.listener.pipeline().addFirst(accepted));
            try (TestClient c = n.client()) {
                c.send(TestClient.submit("50"));
                e.awaitRequest();
                Channel broken = accepted.channels.take();
                n.call(() -> broken.pipeline().fireExceptionCaught(new IOException(how)));
                e.awaitEnd();
                n.await(() -> n.sidecar.pendingCount() == 0 && n.server.connections() == 0);
            }
            assertEquals(1, e.requests.size());
        }
    }

    @Test
    void aRequestThatIsWrittenInManyShortWritesArrivesWhole() throws Exception {
        try (FakeServer e = new FakeServer(OK);
                TestSidecar n = new TestSidecar(
                        TestSidecar.config("127.0.0.1:0", FakeServer.refusing(), 1024, e.address()),
                        CrossingTest.NarrowSocket.class);
                TestClient c = n.client()) {
            String body = "x".repeat(ProtocolLimits.MAX_BODY_BYTES);
            assertEquals(
                    200,
                    c.ask(TestClient.submit("50")
                                    .replace(
                                            "Content-Length: 3\r\n\r\nabc",
                                            "Content-Length: " + body.length() + "\r\n\r\n" + body))
                            .status());
            assertEquals(body.length(), e.awaitRequest().body().length);
        }
    }
}
