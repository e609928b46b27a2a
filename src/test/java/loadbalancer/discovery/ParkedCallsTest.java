package loadbalancer.discovery;

import static loadbalancer.discovery.WatchResponses.HEAD;
import static loadbalancer.discovery.WatchResponses.chunk;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import loadbalancer.testing.FakeServer;
import loadbalancer.testing.TestSidecar;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** What comes on calls to an address that discovery has moved away from, or on calls that are about to be closed. */
class ParkedCallsTest {
    private final DiscoveryClientFixture fixture = new DiscoveryClientFixture();

    @AfterEach
    void stop() {
        fixture.close();
    }

    // Guards against an answer that was written to a parked call, and so counts as known, and is not read.
    @Test
    void drainThatParkedCallBringsIsInForce() throws Exception {
        try (FakeServer first = fixture.newService();
                FakeServer second = fixture.newService()) {
            fixture.start(first, "ask");
            FakeServer.Connection parked = fixture.nextCall();
            fixture.migrate(second);
            assertEquals("MOVED", fixture.nextEvent());
            fixture.watch();
            fixture.nextCall();
            String draining = TestSidecar.host("a", "127.0.0.1:1", "draining");
            parked.text(HEAD + chunk(TestSidecar.list(50, true, draining) + "\n"));
            String event = fixture.nextEvent();
            assertTrue(event.endsWith("[a]"), event);
        }
    }

    // Guards against a drain that has come on the watch, and is not read because the watch is closed.
    @Test
    void drainThatComesInMomentOfMoveIsInForce() throws Exception {
        try (FakeServer first = fixture.newService();
                FakeServer second = fixture.newService()) {
            fixture.start(first, "ask");
            FakeServer.Connection watch = fixture.nextCall();
            watch.text(HEAD + chunk(list(50, "ready") + "\n"));
            assertEquals("SNAPSHOT 50 [a]", fixture.nextEvent());
            fixture.blockLoopAndMigrate(second, () -> watch.text(chunk(list(51, "draining") + "\n")));
            assertEquals("MOVED", fixture.nextEvent());
            assertEquals("RETIREMENTS 51 [a]", fixture.nextEvent());
            first.awaitClose();
        }
    }

    // Guards against a call that is resumed after its answer was used for its drains only.
    @Test
    void callThatWasAnsweredMeanwhileIsNotWaitedForAgain() throws Exception {
        try (FakeServer first = fixture.newService();
                FakeServer second = fixture.newService()) {
            fixture.start(first, "ask");
            FakeServer.Connection parked = fixture.nextCall();
            fixture.migrate(second);
            assertEquals("MOVED", fixture.nextEvent());
            parked.text(HEAD + chunk(list(50, "draining") + "\n"));
            assertEquals("RETIREMENTS 50 [a]", fixture.nextEvent());
            fixture.migrate(first);
            assertEquals("MOVED", fixture.nextEvent());
            fixture.watch();
            fixture.nextCall().text(HEAD + chunk(list(50, "draining") + "\n"));
            assertEquals("SNAPSHOT 50 [a]", fixture.nextEvent());
        }
    }

    private static String list(long version, String health) {
        return TestSidecar.list(version, true, TestSidecar.host("a", "127.0.0.1:1", health));
    }
}
