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
import loadbalancer.testing.FailingSocket;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.SmallSendBufferSocket;
import loadbalancer.testing.TestClient;
import loadbalancer.testing.TestSidecar;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * System calls that fail in ways that Linux documents: what may have been executed, what is answered, and that the loop
 * does not spin.
 */
class FailingSystemCallTest {
    private static final FakeServer.Script OK = (request, wire) -> wire.ok("done");
    private static final int MAX_ATTEMPTS = 6;
    private static final int REQUESTS = 50;
    private static final long MAX_TURNS = 400;

    @AfterEach
    void stopFailing() {
        FailingSocket.fail(FailingSocket.Call.NONE, "");
    }

    private static TestSidecar sidecar(String... endpoints) throws Exception {
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
    void rejectsRequestWhenConnectOrWriteFails(FailingSocket.Call call, String message) throws Exception {
        try (FakeServer endpoint = new FakeServer(OK);
                FakeServer otherEndpoint = new FakeServer(OK);
                TestSidecar sidecar = sidecar(endpoint.address(), otherEndpoint.address());
                TestClient client = sidecar.client()) {
            FailingSocket.fail(call, message);
            for (int i = 0; i < REQUESTS; i++) {
                assertEquals(503, client.exchange(TestClient.submit("50")).status());
            }
            assertTrue(FailingSocket.FAILED.get() > 0);
            assertTrue(FailingSocket.FAILED.get() <= REQUESTS * MAX_ATTEMPTS, "failed " + FailingSocket.FAILED);
            assertEquals(0, endpoint.requests.size() + otherEndpoint.requests.size());
            sidecar.await(() -> sidecar.dispatcher.pendingCount() == 0);
            FailingSocket.fail(FailingSocket.Call.NONE, "");
            assertServedAgain(sidecar, client);
        }
    }

    // The endpoints' drop percentages have risen; they fall as the clock advances.
    private static void assertServedAgain(TestSidecar sidecar, TestClient client) throws Exception {
        int status = 0;
        for (int i = 0; status != 200 && i < 2000; i++) {
            sidecar.advance(100);
            sidecar.awaitTurn();
            status = client.exchange(TestClient.submit("50")).status();
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
    void keepsListeningAfterFailedAccept(String message) throws Exception {
        try (FakeServer endpoint = new FakeServer(OK);
                TestSidecar sidecar = new TestSidecar(FakeServer.refusing(), endpoint.address())) {
            long before = sidecar.call(() -> {
                sidecar.listener.pipeline().fireExceptionCaught(new IOException(message));
                return sidecar.activity.turns();
            });
            try (TestClient client = sidecar.client()) {
                assertEquals(200, client.exchange(TestClient.submit("50")).status());
            }
            long turns = sidecar.call(sidecar.activity::turns) - before;
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
    void endsRequestOfClientWithBrokenConnection(String message) throws Exception {
        Accepted accepted = new Accepted();
        try (FakeServer endpoint = new FakeServer((request, wire) -> {});
                TestSidecar sidecar = new TestSidecar(FakeServer.refusing(), endpoint.address())) {
            sidecar.call(() -> sidecar.listener.pipeline().addFirst(accepted));
            try (TestClient client = sidecar.client()) {
                client.send(TestClient.submit("50"));
                endpoint.awaitRequest();
                Channel broken = accepted.channels.take();
                sidecar.call(() -> broken.pipeline().fireExceptionCaught(new IOException(message)));
                endpoint.awaitClose();
                sidecar.await(() -> sidecar.dispatcher.pendingCount() == 0 && sidecar.server.connections() == 0);
            }
            assertEquals(1, endpoint.requests.size());
        }
    }

    @Test
    void sendsCompleteRequestInShortWrites() throws Exception {
        try (FakeServer endpoint = new FakeServer(OK);
                TestSidecar sidecar = new TestSidecar(
                        TestSidecar.config("127.0.0.1:0", FakeServer.refusing(), 1024, endpoint.address()),
                        SmallSendBufferSocket.class);
                TestClient client = sidecar.client()) {
            String body = "x".repeat(ProtocolLimits.MAX_BODY_BYTES);
            assertEquals(200, client.exchange(TestRequests.submitWithBody(body)).status());
            assertEquals(body.length(), endpoint.awaitRequest().body().length);
        }
    }
}
