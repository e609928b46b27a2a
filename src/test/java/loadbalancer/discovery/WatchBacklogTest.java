package loadbalancer.discovery;

import static loadbalancer.discovery.WatchResponses.HEAD;
import static loadbalancer.discovery.WatchResponses.line;
import static loadbalancer.discovery.WatchResponses.list;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.atomic.AtomicInteger;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.TestSidecar;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Many lines of a watch that come together, each of which takes the loop a millisecond. */
class WatchBacklogTest {
    private static final int LINES = 600;
    private static final int FIRST_VERSION = 51;
    /** The time that discovery may take of a turn, and one read of up to 16 KiB. */
    private static final int MAX_LISTS_PER_TURN =
            25 + 16 * 1024 / list(FIRST_VERSION, false, "s0").length();

    private final DiscoveryClientFixture fixture = new DiscoveryClientFixture();
    private final AtomicInteger listsThisTurn = new AtomicInteger();
    private final AtomicInteger mostListsInTurn = new AtomicInteger();

    @AfterEach
    void stop() {
        fixture.close();
    }

    private FakeServer.Connection openWatch(FakeServer service, String mode) throws Exception {
        fixture.start(service, mode);
        FakeServer.Connection watch = fixture.nextCall();
        watch.text(HEAD + line(list(50, true, "a")));
        assertEquals("SNAPSHOT 50 [a]", fixture.nextEvent());
        fixture.onEachTurn(() -> listsThisTurn.set(0));
        fixture.onEachList(() -> {
            fixture.advance(1);
            mostListsInTurn.accumulateAndGet(listsThisTurn.incrementAndGet(), Math::max);
        });
        return watch;
    }

    // Guards against turns of the loop that last for as long as lines of discovery wait: requests are lost meanwhile.
    @ParameterizedTest
    @ValueSource(strings = {"ask", "push"})
    void linesThatComeTogetherAreReadInSeveralTurns(String mode) throws Exception {
        try (FakeServer service = fixture.newService()) {
            FakeServer.Connection watch = openWatch(service, mode);
            StringBuilder lines = new StringBuilder();
            for (int i = 0; i < LINES; i++) {
                lines.append(line(list(FIRST_VERSION + i, false, "s" + i)));
            }
            fixture.blockLoop(() -> watch.text(lines.toString()));
            for (int i = 0; i < LINES; i++) {
                assertEquals("DELTA " + (FIRST_VERSION + i) + " [s" + i + "]", fixture.nextEvent());
            }
            assertTrue(mostListsInTurn.get() <= MAX_LISTS_PER_TURN, "lists in a turn: " + mostListsInTurn);
        }
    }

    // Guards against drains that discovery has written before a move and that are dropped behind other lines.
    @ParameterizedTest
    @ValueSource(strings = {"ask", "push"})
    void drainsWrittenBeforeMoveAreReadThoughTheyTakeSeveralTurns(String mode) throws Exception {
        try (FakeServer service = fixture.newService();
                FakeServer nextService = fixture.newService()) {
            FakeServer.Connection watch = openWatch(service, mode);
            StringBuilder drains = new StringBuilder();
            for (int i = 0; i < LINES; i++) {
                String host = TestSidecar.host("s" + i, "127.0.0.1:9", "draining");
                drains.append(line(TestSidecar.list(FIRST_VERSION + i, false, host)));
            }
            fixture.blockLoopAndMigrate(nextService, () -> watch.text(drains.toString()));
            assertEquals("MOVED", fixture.nextEvent());
            for (int i = 0; i < LINES; i++) {
                assertEquals("RETIREMENTS " + (FIRST_VERSION + i) + " [s" + i + "]", fixture.nextEvent());
            }
        }
    }
}
