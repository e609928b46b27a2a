package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** When the schedule polls after a start, a failure, a move and an idle timeout. */
class DiscoveryPollScheduleTest {
    private static final int SEEDS = 100;
    private static final double DEADLINE_MILLIS = 10_000;
    private static final double NOW = 5000;

    private final RecordingActions actions = new RecordingActions();

    private static SettingsBuilder settings(int sidecars, double pollDeadlineMillis) {
        return SettingsBuilder.forClasses(RequestClasses.HIGH_PRIORITY)
                .sidecars(sidecars)
                .pollDeadlineMillis(pollDeadlineMillis);
    }

    private DiscoveryPollSchedule schedule(int sidecars, double pollDeadlineMillis, long seed) {
        return new DiscoveryPollSchedule(
                settings(sidecars, pollDeadlineMillis).build(), new SplittableRandom(seed), actions);
    }

    private void assertNextPollWithin(double from, double until) {
        assertTrue(
                actions.lastWake() >= from && actions.lastWake() <= until,
                actions.lastWake() + " is not from " + from + " to " + until);
    }

    /** Polls when it is due, and returns when that was. */
    private double poll(DiscoveryPollSchedule schedule) {
        double at = actions.lastWake();
        schedule.wake(at);
        return at;
    }

    @Test
    void spreadsFirstPollByNumberOfSidecars() {
        double latest = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            schedule(100, DEADLINE_MILLIS, seed).start(NOW);
            assertNextPollWithin(NOW, NOW + 100 * 10);
            latest = Math.max(latest, actions.lastWake());
            // At most 0.4 of the deadline.
            schedule(8400, 500, seed).start(NOW);
            assertNextPollWithin(NOW, NOW + 200);
        }
        assertTrue(latest > NOW + 900, "the spread is used: " + latest);
    }

    @Test
    void schedulesNoPollForPushedList() {
        PolicySettings pushed =
                settings(100, DEADLINE_MILLIS).endpointListPushed().build();
        new DiscoveryPollSchedule(pushed, new SplittableRandom(1), actions).start(NOW);
        assertEquals(0, actions.wakes());
    }

    @Test
    void pollsAtOnceAfterIdleTimeoutAndWithinASecondAfterMove() {
        for (int seed = 0; seed < SEEDS; seed++) {
            DiscoveryPollSchedule schedule = schedule(8400, DEADLINE_MILLIS, seed);
            schedule.idleTimeout(NOW);
            assertEquals(NOW, actions.lastWake());
            schedule.moved(NOW);
            assertNextPollWithin(NOW, NOW + 1000);
        }
    }

    @Test
    void doublesBackoffUpToASecond() {
        // 0.5 to 1.5 times the backoff, and 10 ms of spread for the one sidecar.
        for (int seed = 0; seed < SEEDS; seed++) {
            DiscoveryPollSchedule schedule = schedule(1, DEADLINE_MILLIS, seed);
            for (double backoffMillis : new double[] {300, 600, 1000, 1000}) {
                schedule.failed(NOW);
                assertNextPollWithin(NOW + 0.5 * backoffMillis, NOW + 1.5 * backoffMillis + 10);
            }
            schedule.idleTimeout(NOW);
            schedule.failed(NOW);
            assertNextPollWithin(NOW + 150, NOW + 460);
        }
    }

    @Test
    void fitsBackoffAndSpreadIntoTheCycle() {
        for (int seed = 0; seed < SEEDS; seed++) {
            DiscoveryPollSchedule schedule = schedule(8400, DEADLINE_MILLIS, seed);
            schedule.start(NOW);
            double polledAt = poll(schedule);
            schedule.failed(polledAt);
            assertNextPollWithin(polledAt, polledAt + 2500);
            polledAt = poll(schedule);
            schedule.failed(polledAt + 2000);
            assertNextPollWithin(polledAt + 2000, polledAt + 2500);
            polledAt = poll(schedule);
            schedule.failed(polledAt + 2400);
            // What is left of the cycle would be 100 ms; 300 ms is the least.
            assertNextPollWithin(polledAt + 2400, polledAt + 2700);
        }
    }

    @Test
    void usesAllThatIsLeftOfTheCycle() {
        double latestMillis = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            DiscoveryPollSchedule schedule = schedule(1, DEADLINE_MILLIS, seed);
            schedule.start(NOW);
            schedule.failed(NOW);
            schedule.failed(NOW);
            double polledAt = poll(schedule);
            // The backoff is a second by now, and the longest wait 1510 ms, of which 500 ms are left.
            schedule.failed(polledAt + 2000);
            assertNextPollWithin(polledAt + 2000 + 500 * 500.0 / 1510, polledAt + 2500);
            latestMillis = Math.max(latestMillis, actions.lastWake() - polledAt);
        }
        assertTrue(latestMillis > 2450, "the latest begins after " + latestMillis);
    }

    @Test
    void receivedListCancelsPollAndEndsOutage() {
        DiscoveryPollSchedule schedule = schedule(1, DEADLINE_MILLIS, 1);
        schedule.start(NOW);
        double polledAt = poll(schedule);
        assertEquals(1, actions.watches());
        schedule.failed(polledAt);
        schedule.failed(polledAt);
        assertEquals(List.of("endpoint list unavailable, using the last known list"), actions.log());
        schedule.listReceived();
        assertEquals("endpoint list available again", actions.log().get(1));
        poll(schedule);
        assertEquals(1, actions.watches());
        schedule.listReceived();
        assertEquals(2, actions.log().size());
    }

    @Test
    void firstPollTakesPlaceDespiteEarlierList() {
        DiscoveryPollSchedule schedule = schedule(1, DEADLINE_MILLIS, 1);
        schedule.start(NOW);
        schedule.listReceived();
        poll(schedule);
        assertEquals(1, actions.watches());
    }
}
