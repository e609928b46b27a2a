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

/** Start times in Unix time, while the wall clock is stepped and the monotonic one runs on. */
class StartTimesTest {
    private static final long UNIX_AT_START_MILLIS = 1_700_000_000_000L;
    private static final long HOUR_MILLIS = TimeUnit.HOURS.toMillis(1);

    private final List<String> log = new ArrayList<>();
    private long elapsed;
    private long step;
    private final Clock clock =
            new Clock(() -> TimeUnit.MILLISECONDS.toNanos(elapsed), () -> UNIX_AT_START_MILLIS + elapsed + step);
    private final StartTimes starts = new StartTimes(clock, log::add);

    private long wallClock() {
        return UNIX_AT_START_MILLIS + elapsed + step;
    }

    /** The age in milliseconds of an endpoint that is reported with this start. */
    private double age(String id, double startedAtMillis) {
        return clock.now()
                - convert(false, endpoint(id, startedAtMillis, EndpointStatus.READY))
                        .get(0)
                        .startedAtMillis();
    }

    private static Endpoint endpoint(String id, double startedAtMillis, EndpointStatus status) {
        return new Endpoint(id, status, 1, "a", 0, startedAtMillis);
    }

    private List<Endpoint> convert(boolean snapshot, Endpoint... endpoints) {
        List<EndpointList.Entry> entries = new ArrayList<>();
        for (Endpoint endpoint : endpoints) {
            entries.add(new EndpointList.Entry(endpoint, null));
        }
        return starts.convert(new EndpointList(1, snapshot, entries));
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 5000, -5000, 3_600_000, -3_600_000})
    void startAfterStepGivesTrueAge(long stepMillis) {
        elapsed += 10_000;
        step = stepMillis;
        elapsed += 2000;
        long startedAt = wallClock();
        elapsed += 300;
        assertEquals(300, age("s", startedAt), 1e-6);
        // However often it is reported, and whatever the wall clock does then, it is the same process.
        step -= HOUR_MILLIS / 2;
        elapsed += 1000;
        assertEquals(1300, age("s", startedAt), 1e-6);
        step += HOUR_MILLIS;
        elapsed += 1000;
        assertEquals(2300, age("s", startedAt), 1e-6);
    }

    @ParameterizedTest
    @ValueSource(longs = {5000, -5000, 3_600_000, -3_600_000})
    void startBeforeStepGivesNoGreaterAge(long stepMillis) {
        elapsed += 10_000;
        long startedAt = wallClock();
        elapsed += 500;
        step = stepMillis;
        elapsed += 500;
        double age = age("s", startedAt);
        assertTrue(age >= 0 && age <= 1000, "age " + age);
    }

    @ParameterizedTest
    @ValueSource(longs = {5000, -5000, 3_600_000, -3_600_000})
    void restartAfterStepIsNewStart(long stepMillis) {
        elapsed += 10_000;
        assertEquals(1000, age("s", wallClock() - 1000), 1e-6);
        step = stepMillis;
        elapsed += 60_000;
        long restartedAt = wallClock();
        elapsed += 200;
        assertEquals(200, age("s", restartedAt), 1e-6);
    }

    @Test
    void remembersStepRevertedBeforeList() {
        elapsed += 10_000;
        step = -HOUR_MILLIS;
        elapsed += 500;
        starts.observeWallClock();
        long startedAt = wallClock();
        elapsed += 500;
        step = 0;
        elapsed += 500;
        assertEquals(1000, age("s", startedAt), 1e-6);
    }

    @Test
    void startInFutureCountsAsNow() {
        assertEquals(0, age("s", wallClock() + HOUR_MILLIS), 1e-6);
        elapsed += 400;
        assertEquals(400, age("s", wallClock() - 400 + HOUR_MILLIS), 1e-6);
    }

    @Test
    void zeroStartStaysZero() {
        step = HOUR_MILLIS;
        assertEquals(
                0, convert(false, endpoint("s", 0, EndpointStatus.READY)).get(0).startedAtMillis());
    }

    @Test
    void forgetsRemovedEndpoints() {
        elapsed += 10_000;
        step = -HOUR_MILLIS;
        long startedAt = wallClock();
        assertEquals(0, age("s", startedAt), 1e-6);
        assertEquals(0, age("t", startedAt), 1e-6);
        convert(false, endpoint("s", startedAt, EndpointStatus.REMOVED));
        convert(true, endpoint("u", startedAt, EndpointStatus.READY));
        // Listed again they count as new: as old as that start can be by now.
        elapsed += 1000;
        assertEquals(1000, age("s", startedAt), 1e-6);
        assertEquals(1000, age("t", startedAt), 1e-6);
    }

    @Test
    void logsEachStepOnce() {
        for (int i = 0; i < 20; i++) {
            elapsed += 1000;
            starts.observeWallClock();
        }
        assertEquals(List.of(), log);
        step = -HOUR_MILLIS;
        starts.observeWallClock();
        starts.observeWallClock();
        assertEquals(List.of("the wall clock was stepped by -3600.0 s"), log);
    }
}
