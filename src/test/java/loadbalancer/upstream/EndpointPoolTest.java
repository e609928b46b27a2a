package loadbalancer.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import loadbalancer.discovery.EndpointList;
import loadbalancer.eventloop.Clock;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.Endpoint;
import loadbalancer.policy.EndpointStatus;
import loadbalancer.policy.LoadReport;
import loadbalancer.testing.FakeServer;
import org.junit.jupiter.api.Test;

/** The pool when there are no descriptors left, and when more comes than an answer. */
public class EndpointPoolTest {
    public static final AtomicBoolean EXHAUSTED = new AtomicBoolean();

    /** A socket that can't be made while there are no descriptors. */
    public static final class ScarceChannel extends NioSocketChannel {
        /** A socket, if there is a descriptor for it. */
        public ScarceChannel() {
            if (EXHAUSTED.get()) {
                throw new IllegalStateException("too many open files");
            }
        }
    }

    @Test
    void runningOutOfDescriptorsProvesThatNothingRanAndPasses() throws Exception {
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        try (FakeServer e = new FakeServer((r, w) -> w.ok("done"))) {
            // Room for one connection only, so that one wrongly counted as open would be one too many.
            EndpointPool pool = new EndpointPool(loop, ScarceChannel.class, new Clock(), 1000, 60000, 1);
            loop.submit(() -> pool.update(new EndpointList(
                            1,
                            true,
                            List.of(new EndpointList.Entry(
                                    new Endpoint("s", EndpointStatus.READY, 1, "a", 0, 0),
                                    EndpointList.address(e.address()))))))
                    .get();
            EXHAUSTED.set(true);
            for (int i = 0; i < 3; i++) {
                assertEquals(AttemptOutcome.CONNECT_FAILED, send(loop, pool));
            }
            EXHAUSTED.set(false);
            assertEquals(AttemptOutcome.SUCCESS, send(loop, pool));
            assertEquals(1, e.requests.size());
        } finally {
            loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    @Test
    void onceASecondAnswerHasComeNoConnectionIsUsedTwiceForAWhile() throws Exception {
        EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
        BlockingQueue<FakeServer.Wire> wires = new LinkedBlockingQueue<>();
        AtomicLong nanos = new AtomicLong(1);
        try (FakeServer e = new FakeServer((r, w) -> wires.add(w))) {
            EndpointPool pool = new EndpointPool(loop, NioSocketChannel.class, new Clock(nanos::get), 1000, 600_000, 9);
            loop.submit(() -> pool.update(new EndpointList(
                            1,
                            true,
                            List.of(new EndpointList.Entry(
                                    new Endpoint("s", EndpointStatus.READY, 1, "a", 0, 0),
                                    EndpointList.address(e.address()))))))
                    .get();
            CompletableFuture<AttemptOutcome> first = begin(loop, pool);
            CompletableFuture<AttemptOutcome> second = begin(loop, pool);
            FakeServer.Wire one = wires.take();
            one.ok("done");
            wires.take().ok("done");
            assertEquals(AttemptOutcome.SUCCESS, first.get(FakeServer.PATIENCE_S, TimeUnit.SECONDS));
            assertEquals(AttemptOutcome.SUCCESS, second.get(FakeServer.PATIENCE_S, TimeUnit.SECONDS));
            one.ok("again");
            e.awaitEnd();
            e.script((r, w) -> w.ok("done"));
            // Whether the other connection is at rest by now, idle, or gone.
            for (int i = 3; i < 30; i++) {
                assertEquals(AttemptOutcome.SUCCESS, send(loop, pool));
                assertEquals(i, e.connections());
                Thread.sleep(4);
            }
            nanos.addAndGet(TimeUnit.SECONDS.toNanos(30));
            for (int i = 0; e.requests.size() == e.connections() && i < 2000; i++) {
                assertEquals(AttemptOutcome.SUCCESS, send(loop, pool));
                Thread.sleep(1);
            }
            assertTrue(e.requests.size() > e.connections(), "used again after that");
        } finally {
            loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private static AttemptOutcome send(EventLoop loop, EndpointPool pool) throws Exception {
        return begin(loop, pool).get(FakeServer.PATIENCE_S, TimeUnit.SECONDS);
    }

    private static CompletableFuture<AttemptOutcome> begin(EventLoop loop, EndpointPool pool) {
        CompletableFuture<AttemptOutcome> ended = new CompletableFuture<>();
        loop.execute(() -> pool.send("s", new EndpointAttempt.Listener() {
            @Override
            public FullHttpRequest request() {
                return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/api");
            }

            @Override
            public void attemptEnded(AttemptOutcome outcome, UpstreamResponse answer, LoadReport report) {
                ended.complete(outcome);
            }
        }));
        return ended;
    }
}
