package loadbalancer.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import loadbalancer.eventloop.Clock;
import loadbalancer.policy.Endpoint;
import loadbalancer.policy.EndpointStatus;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Starts told in Unix time, while the wall clock is stepped and the monotonic one runs on. */
class StartTimesTest {
    private static final long BEGIN = 1_700_000_000_000L;
    private static final long HOUR = TimeUnit.HOURS.toMillis(1);

    private final List<String> log = new ArrayList<>();
    private long elapsed;
    private long step;
    private final Clock clock = new Clock(() -> TimeUnit.MILLISECONDS.toNanos(elapsed), () -> BEGIN + elapsed + step);
    private final StartTimes starts = new StartTimes(clock, log::add);

    private long wallClock() {
        return BEGIN + elapsed + step;
    }

    /** What the module hears as the age of a server with this start, in milliseconds. */
    private double age(String id, double told) {
        return clock.now()
                - convert(false, server(id, told, EndpointStatus.READY)).get(0).startedAtMillis();
    }

    private static Endpoint server(String id, double told, EndpointStatus standing) {
        return new Endpoint(id, standing, 1, "a", 0, told);
    }

    private List<Endpoint> convert(boolean whole, Endpoint... servers) {
        List<EndpointList.Entry> entries = new ArrayList<>();
        for (Endpoint s : servers) {
            entries.add(new EndpointList.Entry(s, null));
        }
        return starts.convert(new EndpointList(1, whole, entries));
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 5000, -5000, 3_600_000, -3_600_000})
    void aServerThatStartsAfterAStepIsAsOldAsItIs(long by) {
        elapsed += 10_000;
        step = by;
        elapsed += 2000;
        long born = wallClock();
        elapsed += 300;
        assertEquals(300, age("s", born), 1e-6);
        // However often it is told, and whatever the clock does then, it is the same process.
        step -= HOUR / 2;
        elapsed += 1000;
        assertEquals(1300, age("s", born), 1e-6);
        step += HOUR;
        elapsed += 1000;
        assertEquals(2300, age("s", born), 1e-6);
    }

    @ParameterizedTest
    @ValueSource(longs = {5000, -5000, 3_600_000, -3_600_000})
    void aServerThatStartedBeforeAStepNeverPassesForOlder(long by) {
        elapsed += 10_000;
        long born = wallClock();
        elapsed += 500;
        step = by;
        elapsed += 500;
        double age = age("s", born);
        assertTrue(age >= 0 && age <= 1000, "age " + age);
    }

    @ParameterizedTest
    @ValueSource(longs = {5000, -5000, 3_600_000, -3_600_000})
    void aRestartAfterAStepIsANewStartThoughItsNumberGoesBack(long by) {
        elapsed += 10_000;
        assertEquals(1000, age("s", wallClock() - 1000), 1e-6);
        step = by;
        elapsed += 60_000;
        long again = wallClock();
        elapsed += 200;
        assertEquals(200, age("s", again), 1e-6);
    }

    @Test
    void aStepThatIsTakenBackBeforeTheListComesIsRememberedOnceSeen() {
        elapsed += 10_000;
        step = -HOUR;
        elapsed += 500;
        starts.observeWallClock();
        long born = wallClock();
        elapsed += 500;
        step = 0;
        elapsed += 500;
        assertEquals(1000, age("s", born), 1e-6);
    }

    @Test
    void aStartInTheFutureIsNow() {
        assertEquals(0, age("s", wallClock() + HOUR), 1e-6);
        elapsed += 400;
        assertEquals(400, age("s", wallClock() - 400 + HOUR), 1e-6);
    }

    @Test
    void longAgoStaysLongAgo() {
        step = HOUR;
        assertEquals(
                0, convert(false, server("s", 0, EndpointStatus.READY)).get(0).startedAtMillis());
    }

    @Test
    void anEntryThatHasGoneIsForgotten() {
        elapsed += 10_000;
        step = -HOUR;
        long born = wallClock();
        assertEquals(0, age("s", born), 1e-6);
        assertEquals(0, age("t", born), 1e-6);
        convert(false, server("s", born, EndpointStatus.REMOVED));
        convert(true, server("u", born, EndpointStatus.READY));
        // Told anew they are taken for new: as old as that start can be by now.
        elapsed += 1000;
        assertEquals(1000, age("s", born), 1e-6);
        assertEquals(1000, age("t", born), 1e-6);
    }

    @Test
    void eachStepIsOneLine() {
        for (int i = 0; i < 20; i++) {
            elapsed += 1000;
            starts.observeWallClock();
        }
        assertEquals(List.of(), log);
        step = -HOUR;
        starts.observeWallClock();
        starts.observeWallClock();
        assertEquals(List.of("the wall clock was stepped by -3600.0 s"), log);
    }
}
