package loadbalancer.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.FixedRecvByteBufAllocator;
import java.util.concurrent.TimeUnit;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.TestClient;
import org.junit.jupiter.api.Test;

/** Requests whose bytes have all come, and of which the loop reads only a little in each turn. */
class UnreadRequestTest {
    private static final int BODY_BYTES = 30_000;
    private static final int SMALL_READ_BYTES = 64;
    /** Each turn takes a millisecond at least. */
    private static final int UNREAD_MILLIS = BODY_BYTES / SMALL_READ_BYTES - 1;

    /** Makes each accepted connection read once in a turn, so many bytes at most, and each such turn take a while. */
    private static final class SlowReads extends ChannelInboundHandlerAdapter {
        private final int readBytes;

        private SlowReads(int readBytes) {
            this.readBytes = readBytes;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object accepted) {
            Channel channel = (Channel) accepted;
            ctx.fireChannelRead(accepted);
            channel.config().setRecvByteBufAllocator(new FixedRecvByteBufAllocator(readBytes).maxMessagesPerRead(1));
            channel.pipeline().addFirst(new LongTurns());
        }
    }

    private static final class LongTurns extends ChannelInboundHandlerAdapter {
        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            ctx.fireChannelReadComplete();
            long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(1);
            while (System.nanoTime() - endNanos < 0) {
                Thread.onSpinWait();
            }
        }
    }

    private static TestClient client(SidecarFixture fixture, int readBytes) throws Exception {
        fixture.onLoop(() -> fixture.sidecar.listener.pipeline().addFirst(new SlowReads(readBytes)));
        return fixture.client();
    }

    private static String largeRequest(String timeoutSeconds) {
        return TestClient.submit(timeoutSeconds)
                        .replace("Length: 3", "Length: " + BODY_BYTES)
                        .replace("abc", "")
                + "x".repeat(BODY_BYTES);
    }

    // Guards against a request that is answered long after its time, since its bytes wait unread.
    @Test
    void refusesRequestWhoseTimeEndsWhileItWaitsUnread() throws Exception {
        try (SidecarFixture fixture = SidecarFixture.start()) {
            assertEquals(503, client(fixture, 1).exchange(largeRequest("0.500")).status());
            assertEquals(0, fixture.endpoint.requests.size());
        }
    }

    // Guards against an attempt that is told more time than its client has left.
    @Test
    void takesTimeThatRequestHasWaitedUnreadOffItsTimeout() throws Exception {
        try (SidecarFixture fixture = SidecarFixture.start()) {
            assertEquals(
                    "done",
                    client(fixture, SMALL_READ_BYTES)
                            .exchange(largeRequest("20"))
                            .body());
            String toldSeconds = fixture.endpoint.awaitRequest().headers().get("request-timeout");
            assertTrue(Double.parseDouble(toldSeconds) * 1000 <= 20_000 - UNREAD_MILLIS, toldSeconds);
        }
    }

    // Guards against a rest between two requests that is taken for time in which the second one waited unread.
    @Test
    void countsNoTimeBetweenRequestsOfWhichEachFillsTheLastRead() throws Exception {
        String request = TestClient.status("0.500");
        try (SidecarFixture fixture = SidecarFixture.start()) {
            TestClient client = client(fixture, request.length());
            assertEquals(200, client.exchange(request).status());
            fixture.sidecar
                    .group
                    .next()
                    .schedule(() -> {}, 600, TimeUnit.MILLISECONDS)
                    .get(FakeServer.TIMEOUT_SECONDS, TimeUnit.SECONDS);
            assertEquals(200, client.exchange(TestClient.status("0.500")).status());
        }
    }
}
