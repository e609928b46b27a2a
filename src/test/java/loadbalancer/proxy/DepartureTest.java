package loadbalancer.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.LateSocket;
import loadbalancer.testing.TestClient;
import loadbalancer.testing.TestSidecar;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** A client leaves, in each way there is, while its request is under way: nothing more is sent for it. */
class DepartureTest {
    private final BlockingQueue<FakeServer.Wire> wires = new LinkedBlockingQueue<>();
    private final AtomicInteger heard = new AtomicInteger();

    @BeforeEach
    void forget() {
        LateSocket.forget();
    }

    private static Stream<Arguments> waysAndFailures() {
        return Stream.of("close", "half", "reset", "stay").flatMap(way -> Stream.of("reset", "500 Error", "503 Full")
                .flatMap(failure -> Stream.of("true", "false").map(cancel -> Arguments.of(way, failure, cancel))));
    }

    private FakeServer endpoint() throws IOException {
        return new FakeServer((r, w) -> {
            if (r.headers().get("request-class").equals("pay")) {
                w.ok("marker");
            } else if (heard.incrementAndGet() == 1) {
                wires.add(w);
            } else {
                w.ok("done");
            }
        });
    }

    private FakeServer.Wire first() throws InterruptedException {
        FakeServer.Wire w = wires.poll(FakeServer.PATIENCE_S, TimeUnit.SECONDS);
        assertNotNull(w, "no attempt came");
        return w;
    }

    private static TestSidecar node(String cancel, Class<? extends Channel> channels, FakeServer e, FakeServer f)
            throws Exception {
        String config = TestSidecar.config("127.0.0.1:0", FakeServer.refusing(), 1024, e.address(), f.address());
        return new TestSidecar(config.replace("\"cancel\":true", "\"cancel\":" + cancel), channels);
    }

    private static void fail(FakeServer.Wire wire, String how) throws IOException {
        if (how.equals("reset")) {
            wire.reset();
        } else {
            wire.answer(how, how.startsWith("503") ? "Not-Started: 1\r\n" : "", "");
        }
    }

    // Whatever would be sent is sent before a request that is made later than the end of the one left.
    private static void assertSent(int count, TestSidecar n, FakeServer e, FakeServer f) throws Exception {
        n.await(() -> n.sidecar.pendingCount() == 0);
        n.turn();
        try (TestClient c = n.client()) {
            assertEquals("marker", c.ask(TestClient.pay("50")).body());
        }
        assertEquals(
                count,
                Stream.of(e, f)
                        .flatMap(s -> s.requests.stream())
                        .filter(r -> r.headers().get("request-class").equals("status"))
                        .count());
    }

    @ParameterizedTest
    @MethodSource("waysAndFailures")
    void anAttemptThatFailsAfterItsClientLeftIsTheLast(String way, String failure, String cancel) throws Exception {
        try (FakeServer e = endpoint();
                FakeServer f = endpoint();
                TestSidecar n = node(cancel, NioSocketChannel.class, e, f);
                TestClient c = n.client()) {
            c.send(TestClient.status("50"));
            FakeServer.Wire w = first();
            if (way.equals("stay")) {
                fail(w, failure);
                assertEquals("done", c.read().body());
            } else {
                c.leave(way);
                n.await(() -> n.server.connections() == 0);
                if (cancel.equals("false")) {
                    fail(w, failure);
                }
            }
            assertSent(way.equals("stay") ? 2 : 1, n, e, f);
        }
    }

    // Of a client that stays a further attempt is made, or the others would prove nothing.
    @ParameterizedTest
    @MethodSource("waysAndFailures")
    void anAttemptThatFailsInTheTurnInWhichItsClientLeavesIsTheLast(String way, String failure, String cancel)
            throws Exception {
        try (FakeServer e = endpoint();
                FakeServer f = endpoint();
                TestSidecar n = node(cancel, NioSocketChannel.class, e, f);
                TestClient c = n.client()) {
            // A further attempt would find a connection at rest, and need not wait for one.
            while (e.requests.isEmpty() || f.requests.isEmpty()) {
                assertEquals("marker", c.ask(TestClient.pay("50")).body());
            }
            awaitRested(n);
            c.send(TestClient.status("50"));
            FakeServer.Wire w = first();
            // The loop finds both at once, the failure first.
            n.call(() -> {
                fail(w, failure);
                if (!way.equals("stay")) {
                    c.leave(way);
                }
                return null;
            });
            if (way.equals("stay")) {
                assertEquals("done", c.read().body());
            }
            assertSent(way.equals("stay") ? 2 : 1, n, e, f);
        }
    }

    // A timer that is set after those of the connections that rest after an answer, and for longer.
    private static void awaitRested(TestSidecar n) throws Exception {
        n.group.next().schedule(() -> {}, 100, TimeUnit.MILLISECONDS).get();
    }

    @ParameterizedTest
    @ValueSource(strings = {"close", "half", "reset"})
    void anAttemptThatWaitsForAConnectionIsNotSentOnceItsClientLeft(String way) throws Exception {
        try (FakeServer e = endpoint();
                FakeServer f = endpoint();
                TestSidecar n = node("false", LateSocket.class, e, f);
                TestClient c = n.client()) {
            c.send(TestClient.status("50"));
            Runnable comesUp = LateSocket.awaitConnect();
            c.leave(way);
            n.await(() -> n.server.connections() == 0);
            comesUp.run();
            assertNothingSentThoughAllConnect(n, e, f);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"close", "half", "reset"})
    void aConnectionThatComesUpInTheTurnInWhichItsClientLeavesCarriesNothing(String way) throws Exception {
        try (FakeServer e = endpoint();
                FakeServer f = endpoint();
                TestSidecar n = node("false", LateSocket.class, e, f);
                TestClient c = n.client()) {
            c.send(TestClient.status("50"));
            Runnable comesUp = LateSocket.awaitConnect();
            // The connect is begun in this turn, behind the first task; the loop looks again only when its
            // client is gone, too.
            CountDownLatch left = new CountDownLatch(1);
            n.group.next().execute(() -> {
                comesUp.run();
                n.group.next().execute(() -> await(left));
            });
            while (e.connections() + f.connections() == 0) {
                Thread.onSpinWait();
            }
            c.leave(way);
            left.countDown();
            assertNothingSentThoughAllConnect(n, e, f);
        }
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException x) {
            Thread.currentThread().interrupt();
        }
    }

    private static void assertNothingSentThoughAllConnect(TestSidecar n, FakeServer e, FakeServer f) throws Exception {
        Thread connecting = letAllConnect();
        try {
            assertSent(0, n, e, f);
        } finally {
            connecting.interrupt();
            connecting.join();
        }
    }

    // Connections that are begun from now on come up at once, until it is interrupted.
    private static Thread letAllConnect() {
        Thread t = new Thread(() -> {
            try {
                while (true) {
                    LateSocket.awaitConnect().run();
                }
            } catch (InterruptedException x) {
                // over
            }
        });
        t.setDaemon(true);
        t.start();
        return t;
    }
}
