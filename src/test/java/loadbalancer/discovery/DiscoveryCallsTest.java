package loadbalancer.discovery;

import static loadbalancer.discovery.WatchResponses.HEAD;
import static loadbalancer.discovery.WatchResponses.chunk;
import static loadbalancer.discovery.WatchResponses.list;
import static loadbalancer.discovery.WatchResponses.trySend;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.testing.FakeServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** When further calls begin beside those that wait, and which of them end. */
class DiscoveryCallsTest {
    /** The longest one: the drain grace period of these settings is 2 s. */
    private static final long AGENT_INTERVAL_MILLIS = 150;

    private final DiscoveryClientFixture fixture = new DiscoveryClientFixture();

    @AfterEach
    void stop() {
        fixture.close();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n"
            })
    void callsAgainBesideUnansweredCall(String response) throws Exception {
        try (FakeServer service = fixture.newService()) {
            fixture.start(service, "ask");
            FakeServer.Connection first = fixture.nextCall();
            first.text(response);
            fixture.awaitLoop();
            fixture.advance(2100);
            // Pieces of an object that is never complete do not show that the service is alive.
            if (response.endsWith("{\r\n")) {
                first.text(chunk("\n \n"));
            }
            fixture.awaitLoop();
            assertEquals(1, service.connections());
            fixture.advance(100);
            FakeServer.Connection second = fixture.nextCall();
            assertEquals(0, fixture.pendingEvents());
            second.text(HEAD + chunk(list(51, true, "a")));
            assertEquals("SNAPSHOT 51 [a]", fixture.nextEvent());
            trySend(first, HEAD + chunk(list(50, true, "old")));
            service.awaitClose();
            fixture.awaitLoop();
            assertEquals(0, fixture.pendingEvents());
        }
    }

    // Guards against a call that is closed while its answer is on the way, because another one begins.
    @Test
    void readsNewestOfThreeCallsThoughAnotherOneIsWaitedForInItsPlace() throws Exception {
        try (FakeServer service = fixture.newService()) {
            fixture.start(service, "ask");
            FakeServer.Connection first = fixture.nextCall();
            fixture.advance(2200);
            FakeServer.Connection second = fixture.nextCall();
            fixture.advance(1400);
            FakeServer.Connection third = fixture.nextCall();
            fixture.advance(1200);
            fixture.nextCall();
            third.text(HEAD + chunk(list(49, true, "a")));
            assertEquals("SNAPSHOT 49 [a]", fixture.nextEvent());
            first.text(HEAD + chunk(list(50, true, "a")));
            assertEquals("SNAPSHOT 50 [a]", fixture.nextEvent());
            service.awaitClose();
            assertTrue(third.socket().isClosed());
            assertFalse(second.socket().isClosed());
            assertEquals(4, service.connections());
            fixture.advance(7000);
            // The second and the fourth one, which are never answered.
            service.awaitClose();
            service.awaitClose();
        }
    }

    // Guards against closing calls that wait, for which a crowded service ended the watch of the one answered.
    @Test
    void leavesCallsThatWaitToTheServiceWhenAnotherOneIsAnswered() throws Exception {
        try (FakeServer service = fixture.newService()) {
            fixture.start(service, "ask");
            FakeServer.Connection first = fixture.nextCall();
            fixture.advance(2200);
            FakeServer.Connection second = fixture.nextCall();
            fixture.advance(1400);
            FakeServer.Connection third = fixture.nextCall();
            first.text(HEAD + chunk(list(50, true, "a")));
            assertEquals("SNAPSHOT 50 [a]", fixture.nextEvent());
            third.answer("503 Busy", "", "");
            // It is answered after all, and is the watch from then on.
            second.text(HEAD + chunk(list(51, true, "b")));
            assertEquals("SNAPSHOT 51 [b]", fixture.nextEvent());
            service.awaitClose();
            second.text(chunk(list(52, false, "c")));
            assertEquals("DELTA 52 [c]", fixture.nextEvent());
            fixture.awaitLoop();
            assertEquals(0, fixture.pendingEvents());
            assertEquals(3, service.connections());
        }
    }

    // Guards against giving up a call as stalled whose service writes the head at once, and an empty line 2 s later.
    @Test
    void keepsOldestCallWhoseResponseHasOnlyBegun() throws Exception {
        try (FakeServer service = fixture.newService()) {
            fixture.start(service, "push");
            FakeServer.Connection oldest = fixture.nextCall();
            oldest.text(HEAD);
            fixture.awaitLoop();
            for (int call = 0; call < 13; call++) {
                fixture.advance(AGENT_INTERVAL_MILLIS);
                fixture.nextCall();
            }
            oldest.text(chunk("\n"));
            fixture.awaitLoop();
            oldest.text(chunk(list(50, false, "a")));
            assertEquals("DELTA 50 [a]", fixture.nextEvent());
        }
    }

    // Guards against closing the call that has just become the watch as the oldest of those that nobody waits for.
    @Test
    void keepsAnsweredCallThatWasLongSuperseded() throws Exception {
        try (FakeServer service = fixture.newService()) {
            fixture.start(service, "push");
            FakeServer.Connection oldestSuperseded = null;
            for (int call = 0; call < 18; call++) {
                FakeServer.Connection next = fixture.nextCall();
                oldestSuperseded = call == 2 ? next : oldestSuperseded;
                fixture.advance(AGENT_INTERVAL_MILLIS);
            }
            fixture.nextCall();
            oldestSuperseded.text(HEAD + chunk(list(50, true, "a")));
            assertEquals("SNAPSHOT 50 [a]", fixture.nextEvent());
            service.awaitClose();
            oldestSuperseded.text(chunk(list(51, false, "b")));
            assertEquals("DELTA 51 [b]", fixture.nextEvent());
        }
    }

    @Test
    void givesUpOldestCallAfterThreeIntervals() throws Exception {
        try (FakeServer service = fixture.newService()) {
            fixture.start(service, "ask");
            FakeServer.Connection first = fixture.nextCall();
            for (int i = 0; i < 3; i++) {
                fixture.advance(2200);
                fixture.nextCall();
            }
            service.awaitClose();
            assertTrue(first.socket().isClosed());
            assertEquals(0, fixture.pendingEvents());
        }
    }

    // Guards against moves in series that each end the call that is about to be answered.
    @Test
    void keepsTurnOfCallIfDiscoveryMovesBack() throws Exception {
        try (FakeServer first = fixture.newService();
                FakeServer second = fixture.newService()) {
            fixture.start(first, "ask");
            FakeServer.Connection call = fixture.nextCall();
            fixture.migrate(second);
            assertEquals("MOVED", fixture.nextEvent());
            fixture.watch();
            FakeServer.Connection other = fixture.nextCall();
            fixture.migrate(first);
            assertEquals("MOVED", fixture.nextEvent());
            fixture.watch();
            trySend(other, HEAD + chunk(list(60, true, "x")));
            call.text(HEAD + chunk(list(50, true, "a")));
            assertEquals("SNAPSHOT 50 [a]", fixture.nextEvent());
            fixture.awaitLoop();
            assertEquals(0, fixture.pendingEvents());
            assertEquals(1, first.connections());
            fixture.advance(7000);
            second.awaitClose();
        }
    }

    // Guards against giving up a call whose answer a late turn of the loop has not read yet.
    @Test
    void readsAnswersBeforeItGivesUpCallsAfterLateTurn() throws Exception {
        try (FakeServer service = fixture.newService()) {
            fixture.start(service, "ask");
            FakeServer.Connection first = fixture.nextCall();
            fixture.advance(2200);
            fixture.nextCall();
            fixture.blockLoop(() -> {
                first.text(HEAD + chunk(list(50, true, "a")));
                fixture.advance(7000);
            });
            assertEquals("SNAPSHOT 50 [a]", fixture.nextEvent());
            fixture.awaitLoop();
            assertEquals(2, service.connections());
        }
    }

    @Test
    void waitsForCallInProgressIfAnotherOneFails() throws Exception {
        try (FakeServer service = fixture.newService()) {
            fixture.start(service, "ask");
            FakeServer.Connection first = fixture.nextCall();
            fixture.advance(2200);
            fixture.nextCall().reset();
            fixture.awaitLoop();
            assertEquals(0, fixture.pendingEvents());
            fixture.advance(2200);
            fixture.nextCall().reset();
            first.text(HEAD + chunk(list(50, true, "a")));
            assertEquals("SNAPSHOT 50 [a]", fixture.nextEvent());
            assertEquals(0, fixture.pendingEvents());
        }
    }

    @Test
    void callsLocalAgentAtEachIntervalWhateverBecomesOfCalls() throws Exception {
        try (FakeServer service = fixture.newService()) {
            fixture.start(service, "push");
            for (int call = 0; call < 30; call++) {
                FakeServer.Connection connection = fixture.nextCall();
                if (call % 3 > 0) {
                    end(connection, call % 3 == 1);
                }
                fixture.advance(AGENT_INTERVAL_MILLIS);
            }
            fixture.nextCall().text(HEAD + chunk(list(50, true, "a")));
            assertEquals("SNAPSHOT 50 [a]", fixture.nextEvent());
        }
    }

    /** Ends a call, beside which others wait for their answers or not. */
    private void end(FakeServer.Connection call, boolean reset) throws Exception {
        if (reset) {
            call.reset();
        } else {
            call.answer("503 Busy", "", "");
        }
        fixture.awaitLoop();
    }
}
