package loadbalancer.discovery;

import static loadbalancer.discovery.WatchResponses.HEAD;
import static loadbalancer.discovery.WatchResponses.chunk;
import static loadbalancer.discovery.WatchResponses.indented;
import static loadbalancer.discovery.WatchResponses.list;
import static loadbalancer.discovery.WatchResponses.trySend;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.ScarceSocket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** A watch against what the service may do to it: pieces, malformed lists, and migration at any moment. */
class DiscoveryClientTest {
    private final DiscoveryClientFixture fixture = new DiscoveryClientFixture();

    @AfterEach
    void stop() {
        fixture.close();
    }

    @ParameterizedTest
    @ValueSource(strings = {"ask", "push"})
    void reconnectsAfterDescriptorsRanOut(String mode) throws Exception {
        try (FakeServer service = fixture.newService()) {
            ScarceSocket.EXHAUSTED.set(true);
            try {
                fixture.start(service, mode);
                fixture.awaitLoop();
                assertEquals("FAILED", fixture.nextEvent());
            } finally {
                ScarceSocket.EXHAUSTED.set(false);
            }
            fixture.watch();
            fixture.nextCall().text(HEAD + chunk(list(50, true, "a") + "\n"));
            assertEquals("SNAPSHOT 50 [a]", fixture.nextEvent());
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 7, 64, 100_000})
    void readsListsInPiecesOfAnySize(int pieceLength) throws Exception {
        String text = "\n" + indented(list(50, true, "a", "b{\\\"}\\\\")) + "\n\n\n" + list(51, false, "c")
                + list(52, false) + " " + indented(list(53, false, "d")) + "\n";
        try (FakeServer service = fixture.newService()) {
            fixture.start(service, "ask");
            FakeServer.Connection call = fixture.nextCall();
            call.text(HEAD);
            for (int i = 0; i < text.length(); i += pieceLength) {
                call.text(chunk(text.substring(i, Math.min(text.length(), i + pieceLength))));
            }
            assertEquals("SNAPSHOT 50 [a, b{\"}\\]", fixture.nextEvent());
            assertEquals("DELTA 51 [c]", fixture.nextEvent());
            assertEquals("DELTA 52 []", fixture.nextEvent());
            assertEquals("DELTA 53 [d]", fixture.nextEvent());
            assertEquals(List.of(), fixture.malformedListLines());
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
    void logsMalformedListOnceAndEndsWatch(String malformed) throws Exception {
        String text = malformed
                .replace("ENDLESS", "x".repeat(EndpointListDecoder.MAX_OBJECT_BYTES + 1))
                .replace("DEEP", "{\"a\":".repeat(5000));
        try (FakeServer service = fixture.newService()) {
            fixture.start(service, "ask");
            for (int round = 1; round <= 2; round++) {
                FakeServer.Connection call = fixture.nextCall();
                call.text(HEAD + chunk(list(50 + round, true, "a")));
                assertEquals("SNAPSHOT " + (50 + round) + " [a]", fixture.nextEvent());
                trySend(call, chunk(text));
                assertEquals("FAILED", fixture.nextEvent());
                // The same again before a good list is not logged again.
                fixture.watch();
                trySend(fixture.nextCall(), HEAD + chunk(text));
                assertEquals("FAILED", fixture.nextEvent());
                assertEquals(round, fixture.malformedListLines().size(), fixture.log::toString);
                fixture.watch();
            }
            String line = fixture.malformedListLines().get(0);
            assertTrue(line.startsWith("malformed endpoint list ignored: ") && line.length() < 400, line);
            assertTrue(service.requests.get(service.requests.size() - 1).line().contains("after=52 "));
        }
    }

    @Test
    void tellsRejectionFromOtherFailures() throws Exception {
        try (FakeServer service = fixture.newService()) {
            fixture.start(service, "ask");
            fixture.nextCall().answer("503 Busy", "", "");
            assertEquals("REJECTED", fixture.nextEvent());
            fixture.watch();
            fixture.nextCall().reset();
            assertEquals("FAILED", fixture.nextEvent());
        }
    }

    // The end of an object is known from its JSON, whatever the framing and the end of the connection.
    @ParameterizedTest
    @CsvSource({"false, false", "false, true", "true, false", "true, true"})
    void acceptsOnlyCompleteObjectsOfResponseWithoutLength(boolean reset, boolean truncated) throws Exception {
        String list = list(51, true, "b", "c");
        String sentList = truncated ? list.substring(0, list.length() - 1) : list;
        try (FakeServer service = fixture.newService()) {
            boolean started = false;
            for (String head : List.of(
                    "HTTP/1.1 200 OK\r\n\r\n",
                    "HTTP/1.0 200 OK\r\n\r\n",
                    "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 9999\r\n\r\n")) {
                if (started) {
                    fixture.watch();
                } else {
                    fixture.start(service, "ask");
                    started = true;
                }
                FakeServer.Connection call = fixture.nextCall();
                call.text(head + list(50, true, "a") + "\n" + sentList);
                if (reset) {
                    call.reset();
                } else {
                    call.socket().close();
                }
                assertEquals("SNAPSHOT 50 [a]", fixture.nextEvent());
                if (!truncated) {
                    assertEquals("SNAPSHOT 51 [b, c]", fixture.nextEvent());
                }
                assertEquals("FAILED", fixture.nextEvent());
                fixture.awaitLoop();
                assertEquals(0, fixture.pendingEvents());
            }
            assertEquals(List.of(), fixture.malformedListLines());
        }
    }

    @Test
    void requestsSnapshotWhenVersionGoesBack() throws Exception {
        try (FakeServer service = fixture.newService()) {
            fixture.start(service, "ask");
            fixture.nextCall().text(HEAD + chunk(list(40, false, "old")));
            assertEquals("FAILED", fixture.nextEvent());
            fixture.watch();
            FakeServer.Connection call = fixture.nextCall();
            assertFalse(service.requests.get(1).line().contains("after"));
            call.text(HEAD + chunk(list(3, true, "a")) + chunk(list(4, false, "b")));
            assertEquals("SNAPSHOT 3 [a]", fixture.nextEvent());
            assertEquals("DELTA 4 [b]", fixture.nextEvent());
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"calling", "watching", "failed", "silent"})
    void ignoresOldAddressAfterMigration(String state) throws Exception {
        try (FakeServer first = fixture.newService();
                FakeServer second = fixture.newService();
                FakeServer last = fixture.newService()) {
            fixture.start(first, "ask");
            FakeServer.Connection oldCall = fixture.nextCall();
            if (!state.equals("calling")) {
                oldCall.text(HEAD + chunk(list(50, true, "a")));
                assertEquals("SNAPSHOT 50 [a]", fixture.nextEvent());
                fixture.awaitLoop();
            }
            if (state.equals("failed")) {
                oldCall.socket().close();
                assertEquals("FAILED", fixture.nextEvent());
            } else if (state.equals("silent")) {
                fixture.advance(3700);
                assertEquals("IDLE_TIMEOUT", fixture.nextEvent());
            }
            // Twice, and again before the second is called; the same address again is no migration.
            fixture.migrate(second);
            fixture.migrate(last);
            fixture.migrate(last);
            assertEquals("MOVED", fixture.nextEvent());
            assertEquals("MOVED", fixture.nextEvent());
            fixture.watch();
            FakeServer.Connection newCall = fixture.nextCall();
            assertEquals(1, last.requests.size());
            assertFalse(last.requests.get(0).line().contains("after"));
            String outdated = chunk(list(60, true, "x"));
            trySend(oldCall, state.equals("calling") ? HEAD + outdated : outdated);
            newCall.text(HEAD + chunk(list(7, true, "b")));
            assertEquals("SNAPSHOT 7 [b]", fixture.nextEvent());
            assertEquals(0, fixture.pendingEvents());
            assertEquals(0, second.connections());
        }
    }
}
