package loadbalancer.discovery;

import static loadbalancer.discovery.WatchResponses.HEAD;
import static loadbalancer.discovery.WatchResponses.chunk;
import static loadbalancer.discovery.WatchResponses.list;
import static loadbalancer.discovery.WatchResponses.trySend;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.testing.FakeServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A watch that is silent or whose lines come late, and the calls beside it. */
class LateWatchTest {
    private final DiscoveryClientFixture fixture = new DiscoveryClientFixture();

    @AfterEach
    void stop() {
        fixture.close();
    }

    // Guards against an old call that is answered late, and takes the watch over from a prompt one.
    @Test
    void keepsPromptWatchWhenOlderCallIsAnsweredLate() throws Exception {
        try (FakeServer service = fixture.newService()) {
            fixture.start(service, "ask");
            FakeServer.Connection late = fixture.nextCall();
            fixture.advance(2200);
            FakeServer.Connection prompt = fixture.nextCall();
            prompt.text(HEAD + chunk(list(50, true, "a")));
            assertEquals("SNAPSHOT 50 [a]", fixture.nextEvent());
            late.text(HEAD + chunk(list(50, true, "a")));
            assertEquals("SNAPSHOT 50 [a]", fixture.nextEvent());
            service.awaitClose();
            assertTrue(late.socket().isClosed());
            prompt.text(chunk(list(51, false, "b")));
            assertEquals("DELTA 51 [b]", fixture.nextEvent());
        }
    }

    // Guards against an answer that was held up, and takes the list back to what it was.
    @Test
    void closesCallWhoseAnswerIsOlderThanTheWatch() throws Exception {
        try (FakeServer service = fixture.newService()) {
            fixture.start(service, "ask");
            FakeServer.Connection first = fixture.nextCall();
            fixture.advance(2200);
            FakeServer.Connection second = fixture.nextCall();
            first.text(HEAD + chunk(list(50, true, "a")));
            assertEquals("SNAPSHOT 50 [a]", fixture.nextEvent());
            second.text(HEAD + chunk(list(49, true, "old")));
            service.awaitClose();
            assertTrue(second.socket().isClosed());
            first.text(chunk(list(51, false, "b")));
            assertEquals("DELTA 51 [b]", fixture.nextEvent());
        }
    }

    /** Starts the client and answers its first call with the list of version 50. */
    private FakeServer.Connection startWithWatch(FakeServer service, String mode) throws Exception {
        fixture.start(service, mode);
        FakeServer.Connection watch = fixture.nextCall();
        watch.text(HEAD + chunk(list(50, true)));
        assertEquals("SNAPSHOT 50 []", fixture.nextEvent());
        fixture.awaitLoop();
        return watch;
    }

    /** Returns the call that begins once a watch is found silent and the policy has asked for it. */
    private FakeServer.Connection nextCallBesideSilentWatch() throws Exception {
        assertEquals("IDLE_TIMEOUT", fixture.nextEvent());
        fixture.watch();
        return fixture.nextCall();
    }

    @ParameterizedTest
    @ValueSource(strings = {"ask", "push"})
    void renewsSilentWatchAndClosesItOnceAnswered(String mode) throws Exception {
        try (FakeServer service = fixture.newService()) {
            FakeServer.Connection silent = startWithWatch(service, mode);
            fixture.advance(2200);
            fixture.awaitLoop();
            assertEquals(0, fixture.pendingEvents());
            assertEquals(1, service.connections());
            fixture.advance(600);
            FakeServer.Connection next = nextCallBesideSilentWatch();
            next.text(HEAD + chunk(list(51, false, "a")));
            assertEquals("DELTA 51 [a]", fixture.nextEvent());
            service.awaitClose();
            trySend(silent, chunk(list(52, false, "x")));
            fixture.awaitLoop();
            assertEquals(0, fixture.pendingEvents());
        }
    }

    // Guards against a late line of a silent watch that ends the call for the current list.
    @ParameterizedTest
    @ValueSource(strings = {"ask", "push"})
    void takesLateChangeOfSilentWatchButEndsNoCallForIt(String mode) throws Exception {
        try (FakeServer service = fixture.newService()) {
            FakeServer.Connection late = startWithWatch(service, mode);
            fixture.advance(2800);
            FakeServer.Connection next = nextCallBesideSilentWatch();
            late.text(chunk("\n"));
            late.text(chunk(list(51, false, "a")));
            assertEquals("DELTA 51 [a]", fixture.nextEvent());
            next.text(HEAD + chunk(list(52, false, "b")));
            assertEquals("DELTA 52 [b]", fixture.nextEvent());
            service.awaitClose();
            assertTrue(late.socket().isClosed());
            assertEquals(2, service.connections());
        }
    }

    // Guards against a delay that grows so slowly that no gap between two lines is long.
    @Test
    void renewsWatchWhoseLinesComeLaterAndLater() throws Exception {
        try (FakeServer service = fixture.newService()) {
            fixture.start(service, "ask");
            FakeServer.Connection late = fixture.nextCall();
            late.text(HEAD + chunk(list(50, true) + "\n"));
            assertEquals("SNAPSHOT 50 []", fixture.nextEvent());
            for (int i = 0; i < 4 && fixture.pendingEvents() == 0; i++) {
                fixture.advance(2200);
                late.text(chunk("\n"));
                fixture.awaitLoop();
            }
            assertEquals("IDLE_TIMEOUT", fixture.nextEvent());
        }
    }

    // Guards against a path with less throughput than the changes need: lists come steadily, later and later.
    @ParameterizedTest
    @ValueSource(strings = {"ask", "push"})
    void confirmsWatchOnWhichNoEmptyLineComesBetweenLists(String mode) throws Exception {
        try (FakeServer service = fixture.newService()) {
            FakeServer.Connection late = startWithWatch(service, mode);
            for (int i = 1; i <= 6; i++) {
                fixture.advance(500);
                late.text(chunk(list(50 + i, false, "a")));
                assertEquals("DELTA " + (50 + i) + " [a]", fixture.nextEvent());
            }
            fixture.awaitCheck();
            fixture.advance(500);
            FakeServer.Connection next = fixture.nextCall();
            next.text(HEAD + chunk(list(70, false, "b")));
            assertEquals("DELTA 70 [b]", fixture.nextEvent());
            service.awaitClose();
            assertTrue(late.socket().isClosed());
            assertEquals(2, service.connections());
        }
    }

    // Guards against a whole list that comes late beside the watch, and takes back what the watch has told since.
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void ignoresListBesideWatchThatIsOlderThanWatch(boolean whole) throws Exception {
        try (FakeServer service = fixture.newService()) {
            FakeServer.Connection watch = startWithWatch(service, "ask");
            for (int i = 1; i <= 6; i++) {
                fixture.advance(500);
                watch.text(chunk(list(50 + i, false, "a")));
                assertEquals("DELTA " + (50 + i) + " [a]", fixture.nextEvent());
            }
            fixture.awaitCheck();
            fixture.advance(500);
            FakeServer.Connection late = fixture.nextCall();
            fixture.advance(200);
            watch.text(chunk(list(57, false, "b")));
            assertEquals("DELTA 57 [b]", fixture.nextEvent());
            late.text(HEAD + chunk(list(56, whole, "a")));
            service.awaitClose();
            assertTrue(late.socket().isClosed());
            watch.text(chunk(list(58, false, "c")));
            assertEquals("DELTA 58 [c]", fixture.nextEvent());
            assertEquals(List.of(), fixture.malformedListLines());
        }
    }

    @Test
    void emptyLinesKeepWatchAlive() throws Exception {
        try (FakeServer service = fixture.newService()) {
            fixture.start(service, "ask");
            FakeServer.Connection call = fixture.nextCall();
            call.text(HEAD);
            for (int i = 1; i <= 10; i++) {
                call.text(chunk("\n") + chunk(list(50 + i, false)) + chunk("\r\n"));
                assertEquals("DELTA " + (50 + i) + " []", fixture.nextEvent());
                fixture.advance(2000);
            }
            assertEquals(1, service.connections());
        }
    }
}
