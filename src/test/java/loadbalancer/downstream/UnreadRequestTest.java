package loadbalancer.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.FixedRecvByteBufAllocator;
import java.util.concurrent.TimeUnit;
import loadbalancer.testing.TestClient;
import org.junit.jupiter.api.Test;

/** Requests whose bytes have all come, and of which the loop reads only a part for a while. */
class UnreadRequestTest {
    private static final int FIRST_READ_BYTES = 1024;
    private static final int BODY_BYTES = 30_000;
    private static final long UNREAD_MILLIS = 400;

    /** Makes each accepted connection read once, and then nothing for a while. */
    private static final class LateReads extends ChannelInboundHandlerAdapter {
        private final long lateMillis;

        private LateReads(long lateMillis) {
            this.lateMillis = lateMillis;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object accepted) {
            Channel channel = (Channel) accepted;
            ctx.fireChannelRead(accepted);
            channel.config()
                    .setRecvByteBufAllocator(new FixedRecvByteBufAllocator(FIRST_READ_BYTES).maxMessagesPerRead(1));
            channel.pipeline().addFirst(new PauseAfterFirstRead(lateMillis));
        }
    }

    private static final class PauseAfterFirstRead extends ChannelInboundHandlerAdapter {
        private final long pauseMillis;
        private boolean paused;

        private PauseAfterFirstRead(long pauseMillis) {
            this.pauseMillis = pauseMillis;
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) {
            ctx.fireChannelReadComplete();
            if (!paused) {
                paused = true;
                ctx.channel().config().setAutoRead(false);
                ctx.executor()
                        .schedule(() -> ctx.channel().config().setAutoRead(true), pauseMillis, TimeUnit.MILLISECONDS);
            }
        }
    }

    private static TestClient.Response exchange(SidecarFixture fixture, long lateMillis, String timeoutSeconds)
            throws Exception {
        fixture.onLoop(() -> fixture.sidecar.listener.pipeline().addFirst(new LateReads(lateMillis)));
        return fixture.client()
                .exchange(TestClient.submit(timeoutSeconds)
                                .replace("Length: 3", "Length: " + BODY_BYTES)
                                .replace("abc", "")
                        + "x".repeat(BODY_BYTES));
    }

    // Guards against a request that is answered long after its time, since its bytes wait unread.
    @Test
    void refusesRequestWhoseTimeEndsWhileItWaitsUnread() throws Exception {
        try (SidecarFixture fixture = SidecarFixture.start()) {
            assertEquals(
                    503, exchange(fixture, TimeUnit.HOURS.toMillis(1), "0.300").status());
            assertEquals(0, fixture.endpoint.requests.size());
        }
    }

    // Guards against an attempt that is told more time than its client has left.
    @Test
    void takesTimeThatRequestHasWaitedUnreadOffItsTimeout() throws Exception {
        try (SidecarFixture fixture = SidecarFixture.start()) {
            assertEquals("done", exchange(fixture, UNREAD_MILLIS, "20").body());
            String toldSeconds = fixture.endpoint.awaitRequest().headers().get("request-timeout");
            assertTrue(Double.parseDouble(toldSeconds) * 1000 <= 20_000 - UNREAD_MILLIS, toldSeconds);
        }
    }
}
