package loadbalancer.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import loadbalancer.configuration.Configuration;
import loadbalancer.eventloop.Clock;
import loadbalancer.policy.WatchEvent;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.TestSidecar;
import loadbalancer.upstream.EndpointPoolTest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** One watch against what discovery may do to it: pieces, nonsense, silence, and a move at any of these moments. */
class WatchTest implements DiscoveryClient.Listener {
    private static final String WATCH = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    private final AtomicLong nanos = new AtomicLong(1);
    private final BlockingQueue<String> heard = new LinkedBlockingQueue<>();
    private final List<String> log = new CopyOnWriteArrayList<>();
    private final BlockingQueue<FakeServer.Wire> calls = new LinkedBlockingQueue<>();
    private DiscoveryClient discovery;

    @Override
    public void endpointsReceived(WatchEvent kind, EndpointList list) {
        heard.add(kind + " " + list.version() + " "
                + list.entries().stream().map(e -> e.endpoint().id()).toList());
    }

    @Override
    public void watchFailed(WatchEvent why) {
        heard.add(loop.inEventLoop() ? why.toString() : why + " from another thread");
    }

    @AfterEach
    void stop() {
        loop.parent().shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private FakeServer server() throws IOException {
        return new FakeServer((r, w) -> calls.add(w));
    }

    // The clock stands still, so that no watch is silent before the test sets it on.
    private DiscoveryClient watch(String address, String how) throws Exception {
        ObjectMapper mapper = new ObjectMapper();
        Configuration config = Configuration.parse(
                TestSidecar.config("127.0.0.1:0", address, 64)
                        .replace("\"discovery\":\"ask\"", "\"discovery\":\"" + how + "\""),
                mapper);
        discovery = loop.submit(() -> new DiscoveryClient(
                        loop,
                        EndpointPoolTest.ScarceChannel.class,
                        new Clock(nanos::get),
                        config.discoveryAddress(),
                        mapper,
                        config.settings(),
                        config.seed(),
                        config.lastKnownList(),
                        this,
                        log::add))
                .get();
        again();
        return discovery;
    }

    private void again() throws Exception {
        loop.submit(discovery::watch).get();
    }

    private void move(FakeServer to) throws Exception {
        loop.submit(() -> discovery.migrate(EndpointList.address(to.address()))).get();
    }

    // What was heard has been dealt with whole.
    private void turn() throws Exception {
        loop.submit(() -> {}).get();
    }

    private void advance(long millis) {
        nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
    }

    private static <T> T next(BlockingQueue<T> queue) throws InterruptedException {
        T t = queue.poll(FakeServer.PATIENCE_S, TimeUnit.SECONDS);
        if (t == null) {
            throw new AssertionError("nothing came");
        }
        return t;
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.getBytes(StandardCharsets.UTF_8).length) + "\r\n" + text + "\r\n";
    }

    private static String list(long seq, boolean whole, String... names) {
        String[] hosts = new String[names.length];
        for (int i = 0; i < names.length; i++) {
            hosts[i] = TestSidecar.host(names[i], "127.0.0.1:9", "ready");
        }
        return TestSidecar.list(seq, whole, hosts);
    }

    private static String indented(String json) throws IOException {
        ObjectMapper mapper = new ObjectMapper();
        return mapper.writerWithDefaultPrettyPrinter().writeValueAsString(mapper.readTree(json));
    }

    @ParameterizedTest
    @ValueSource(strings = {"ask", "push"})
    void aWatchThatMetNoDescriptorIsOpenedOnceThereIsOne(String how) throws Exception {
        try (FakeServer d = server()) {
            EndpointPoolTest.EXHAUSTED.set(true);
            try {
                watch(d.address(), how);
                turn();
                if (how.equals("ask")) {
                    assertEquals("FAILED", next(heard));
                }
            } finally {
                EndpointPoolTest.EXHAUSTED.set(false);
            }
            if (how.equals("ask")) {
                again();
            }
            next(calls).text(WATCH + chunk(list(50, true, "a") + "\n"));
            assertEquals("SNAPSHOT 50 [a]", next(heard));
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 7, 64, 100_000})
    void listsAreReadHoweverTheyAreIndentedAndCut(int piece) throws Exception {
        String all = "\n" + indented(list(50, true, "a", "b{\\\"}\\\\")) + "\n\n\n" + list(51, false, "c")
                + list(52, false) + " " + indented(list(53, false, "d")) + "\n";
        try (FakeServer d = server()) {
            watch(d.address(), "ask");
            FakeServer.Wire w = next(calls);
            w.text(WATCH);
            for (int i = 0; i < all.length(); i += piece) {
                w.text(chunk(all.substring(i, Math.min(all.length(), i + piece))));
            }
            assertEquals("SNAPSHOT 50 [a, b{\"}\\]", next(heard));
            assertEquals("DELTA 51 [c]", next(heard));
            assertEquals("DELTA 52 []", next(heard));
            assertEquals("DELTA 53 [d]", next(heard));
            assertEquals(List.of(), log);
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "[1]",
                "5 ",
                "{\"seq\":1}",
                "{{",
                "{\"seq\":60,\"whole\":true,\"hosts\":[{}]}",
                "ENDLESS",
                "{\"a\":\"ENDLESS",
                "DEEP"
            })
    void aListThatCannotBeReadCostsOneLineAndTheWatch(String bad) throws Exception {
        String text = bad.replace("ENDLESS", "x".repeat(EndpointListDecoder.MAX_OBJECT_BYTES + 1))
                .replace("DEEP", "{\"a\":".repeat(5000));
        try (FakeServer d = server()) {
            watch(d.address(), "ask");
            for (int round = 1; round <= 2; round++) {
                FakeServer.Wire good = next(calls);
                good.text(WATCH + chunk(list(50 + round, true, "a")));
                assertEquals("SNAPSHOT " + (50 + round) + " [a]", next(heard));
                tryText(good, chunk(text));
                assertEquals("FAILED", next(heard));
                // The same again before a good one is told no second time.
                again();
                FakeServer.Wire repeated = next(calls);
                tryText(repeated, WATCH + chunk(text));
                assertEquals("FAILED", next(heard));
                assertEquals(round, log.size(), () -> log.toString());
                again();
            }
            assertTrue(
                    log.get(0).startsWith("malformed endpoint list ignored: ")
                            && log.get(0).length() < 400,
                    log.get(0));
            assertTrue(d.requests.get(d.requests.size() - 1).line().contains("after=52 "));
        }
    }

    // The other side closes while it still comes.
    private static void tryText(FakeServer.Wire wire, String text) {
        try {
            wire.text(text);
        } catch (IOException e) {
            // closed, as it should be
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n",
                "LIST"
            })
    void aWatchThatShowsNoLifeIsBrokenWellBeforeWhatItMissesIsTold(String first) throws Exception {
        try (FakeServer d = server()) {
            watch(d.address(), "ask");
            FakeServer.Wire w = next(calls);
            w.text(first.replace("LIST", WATCH + chunk(list(50, true))));
            if (first.equals("LIST")) {
                assertEquals("SNAPSHOT 50 []", next(heard));
            }
            turn();
            advance(2500);
            // Pieces of an object that is never complete are no sign of life.
            if (first.endsWith("{\r\n")) {
                w.text(chunk("\n \n"));
            }
            turn();
            assertEquals(0, heard.size());
            advance(1200);
            assertEquals("IDLE_TIMEOUT", next(heard));
            d.awaitEnd();
        }
    }

    // An object says itself where it ends, whatever the framing of the response and the end of the connection.
    @ParameterizedTest
    @CsvSource({"false, false", "false, true", "true, false", "true, true"})
    void ofAnAnswerWithoutALengthWholeObjectsAreTakenAndNoOthers(boolean reset, boolean cut) throws Exception {
        String list = list(51, true, "b", "c");
        try (FakeServer d = server()) {
            for (String head : List.of(
                    "HTTP/1.1 200 OK\r\n\r\n",
                    "HTTP/1.0 200 OK\r\n\r\n",
                    "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 9999\r\n\r\n")) {
                if (discovery == null) {
                    watch(d.address(), "ask");
                } else {
                    again();
                }
                FakeServer.Wire w = next(calls);
                w.text(head + list(50, true, "a") + "\n" + (cut ? list.substring(0, list.length() - 1) : list));
                if (reset) {
                    w.reset();
                } else {
                    w.socket().close();
                }
                assertEquals("SNAPSHOT 50 [a]", next(heard));
                if (!cut) {
                    assertEquals("SNAPSHOT 51 [b, c]", next(heard));
                }
                assertEquals("FAILED", next(heard));
                turn();
                assertEquals(0, heard.size());
            }
            assertEquals(List.of(), log);
        }
    }

    @Test
    void emptyLinesKeepAWatch() throws Exception {
        try (FakeServer d = server()) {
            watch(d.address(), "ask");
            FakeServer.Wire w = next(calls);
            w.text(WATCH);
            for (int i = 1; i <= 10; i++) {
                w.text(chunk("\n") + chunk(list(50 + i, false)) + chunk("\r\n"));
                assertEquals("DELTA " + (50 + i) + " []", next(heard));
                advance(2000);
            }
            assertEquals(1, d.connections());
        }
    }

    @Test
    void aSilentPushedWatchIsOpenedAnewAtOnceAndARefusedOneOftenEnoughToHearOfADrainInTime() throws Exception {
        try (FakeServer d = server()) {
            watch(d.address(), "push");
            next(calls);
            advance(3700);
            next(calls).text(WATCH + chunk(list(50, true, "a")));
            assertEquals("SNAPSHOT 50 [a]", next(heard));
            for (int i = 0; i < 50; i++) {
                double wait = loop.submit(discovery::pushedWait).get();
                // What the agent hears when it is back is told at once; the grace of these settings is 2 s.
                assertTrue(wait <= 600, "waits " + wait);
            }
        }
    }

    @Test
    void aVersionThatGoesBackIsNoChangeOfOurList() throws Exception {
        try (FakeServer d = server()) {
            watch(d.address(), "ask");
            next(calls).text(WATCH + chunk(list(40, false, "old")));
            assertEquals("FAILED", next(heard));
            again();
            FakeServer.Wire w = next(calls);
            assertFalse(d.requests.get(1).line().contains("after"));
            w.text(WATCH + chunk(list(3, true, "a")) + chunk(list(4, false, "b")));
            assertEquals("SNAPSHOT 3 [a]", next(heard));
            assertEquals("DELTA 4 [b]", next(heard));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"calling", "watching", "failed", "silent"})
    void afterAMoveOnlyTheNewAddressIsHeard(String when) throws Exception {
        try (FakeServer d = server();
                FakeServer mid = server();
                FakeServer to = server()) {
            watch(d.address(), "ask");
            FakeServer.Wire old = next(calls);
            if (!when.equals("calling")) {
                old.text(WATCH + chunk(list(50, true, "a")));
                assertEquals("SNAPSHOT 50 [a]", next(heard));
                turn();
            }
            if (when.equals("failed")) {
                old.socket().close();
                assertEquals("FAILED", next(heard));
            } else if (when.equals("silent")) {
                advance(3700);
                assertEquals("IDLE_TIMEOUT", next(heard));
            }
            // Twice, and the second before the first was asked; the same address again is no move.
            move(mid);
            move(to);
            move(to);
            assertEquals("MOVED", next(heard));
            assertEquals("MOVED", next(heard));
            again();
            FakeServer.Wire w = next(calls);
            assertEquals(1, to.requests.size());
            assertFalse(to.requests.get(0).line().contains("after"));
            tryText(old, when.equals("calling") ? WATCH + chunk(list(60, true, "x")) : chunk(list(60, true, "x")));
            w.text(WATCH + chunk(list(7, true, "b")));
            assertEquals("SNAPSHOT 7 [b]", next(heard));
            assertEquals(0, heard.size());
            assertEquals(0, mid.connections());
        }
    }
}
