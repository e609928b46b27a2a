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
    /** Three eighths of the 6 s within which a change must be in force, less 150 ms for a pause. */
    private static final double INTERVAL_MILLIS = 2193.75;
    /** Seven tenths of the same. */
    private static final double MAX_SPREAD_MILLIS = 4095;

    private final RecordingActions actions = new RecordingActions();

    private static SettingsBuilder settings(int sidecars, double pollDeadlineMillis) {
        return SettingsBuilder.forClasses(RequestClasses.HIGH_PRIORITY)
                .sidecars(sidecars)
                .pollDeadlineMillis(pollDeadlineMillis);
    }

    /** What the last schedule made asks. */
    private ListCurrency currency;

    private DiscoveryPollSchedule schedule(int sidecars, double pollDeadlineMillis, long seed) {
        return schedule(settings(sidecars, pollDeadlineMillis).build(), seed);
    }

    private DiscoveryPollSchedule schedule(PolicySettings settings, long seed) {
        currency = new ListCurrency(settings.rules());
        currency.started(NOW);
        return new DiscoveryPollSchedule(settings, currency, new SplittableRandom(seed), actions);
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
            schedule(8, DEADLINE_MILLIS, seed).start(NOW);
            assertNextPollWithin(NOW, NOW + 8 * 10);
            schedule(20, DEADLINE_MILLIS, seed).start(NOW);
            assertNextPollWithin(NOW, NOW + 12 * 200);
            schedule(100, DEADLINE_MILLIS, seed).start(NOW);
            assertNextPollWithin(NOW, NOW + MAX_SPREAD_MILLIS);
            latest = Math.max(latest, actions.lastWake());
            // At most 0.4 of the deadline.
            schedule(8400, 500, seed).start(NOW);
            assertNextPollWithin(NOW, NOW + 200);
        }
        assertTrue(latest > NOW + 0.95 * MAX_SPREAD_MILLIS, "the spread is used: " + latest);
    }

    @Test
    void schedulesNoPollForPushedList() {
        PolicySettings pushed =
                settings(100, DEADLINE_MILLIS).endpointListPushed().build();
        schedule(pushed, 1).start(NOW);
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

    /** Polls, and lets the list come at once and the watch end after this time; returns when it ended. */
    private double pollAndEndWatchAfter(DiscoveryPollSchedule schedule, double lifeMillis) {
        double polledAt = poll(schedule);
        currency.answered(polledAt);
        schedule.listReceived();
        schedule.failed(polledAt + lifeMillis);
        return polledAt + lifeMillis;
    }

    // Guards against a pause after short watches, in which discovery answers for the last time and is not called.
    @Test
    void pausesNoLongerAfterFurtherShortWatches() {
        for (int seed = 0; seed < SEEDS; seed++) {
            DiscoveryPollSchedule schedule = schedule(1, DEADLINE_MILLIS, seed);
            schedule.start(NOW);
            for (double lifeMillis : new double[] {10, 10, 0, 1900, 2100, 10}) {
                double endedAt = pollAndEndWatchAfter(schedule, lifeMillis);
                assertNextPollWithin(endedAt + 150, endedAt + 460);
            }
        }
    }

    @Test
    void fitsBackoffAndSpreadIntoTheInterval() {
        for (int seed = 0; seed < SEEDS; seed++) {
            DiscoveryPollSchedule schedule = schedule(8400, DEADLINE_MILLIS, seed);
            schedule.start(NOW);
            double polledAt = poll(schedule);
            schedule.failed(polledAt);
            assertNextPollWithin(polledAt, polledAt + INTERVAL_MILLIS);
            polledAt = poll(schedule);
            schedule.failed(polledAt + 1700);
            assertNextPollWithin(polledAt + 1700, polledAt + INTERVAL_MILLIS);
            polledAt = poll(schedule);
            schedule.failed(polledAt + 2100);
            // What is left of the interval would be 94 ms; 300 ms is the least.
            assertNextPollWithin(polledAt + 2100, polledAt + 2400);
        }
    }

    @Test
    void usesAllThatIsLeftOfTheInterval() {
        double latestMillis = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            DiscoveryPollSchedule schedule = schedule(1, DEADLINE_MILLIS, seed);
            schedule.start(NOW);
            schedule.failed(NOW);
            schedule.failed(NOW);
            double polledAt = poll(schedule);
            currency.confirmed(polledAt + 1700);
            // The backoff is a second by now, and the longest wait 1510 ms, of which 493.75 ms are left.
            schedule.failed(polledAt + 1700);
            assertNextPollWithin(polledAt + 1700 + 500 * 493.75 / 1510, polledAt + INTERVAL_MILLIS);
            latestMillis = Math.max(latestMillis, actions.lastWake() - polledAt);
        }
        assertTrue(latestMillis > INTERVAL_MILLIS - 50, "the latest begins after " + latestMillis);
    }

    // Guards against a sum of pauses after a watch fell silent that is longer than the term, whatever the calls meet.
    @Test
    void pausesAfterFailuresBesideSilentWatchFitIntoTheTerm() {
        for (int seed = 0; seed < SEEDS; seed++) {
            DiscoveryPollSchedule schedule = schedule(8400, DEADLINE_MILLIS, seed);
            currency.watchFellSilent();
            double failedAt = NOW + 2750;
            schedule.idleTimeout(failedAt);
            for (int i = 0; i < 4; i++) {
                failedAt = poll(schedule);
                schedule.failed(failedAt);
            }
            assertNextPollWithin(failedAt, NOW + 5850);
        }
    }

    @Test
    void pausesAfterFailuresAreSpreadThoughTheTermRunsOut() {
        double latestMillis = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            DiscoveryPollSchedule schedule = schedule(8400, DEADLINE_MILLIS, seed);
            schedule.failed(NOW + 5800);
            assertNextPollWithin(NOW + 5800, NOW + 5800 + 0.35 * MAX_SPREAD_MILLIS);
            latestMillis = Math.max(latestMillis, actions.lastWake() - NOW - 5800);
        }
        assertTrue(latestMillis > 1000, "the latest begins after " + latestMillis);
    }

    // Guards against a series of moves that puts off the call each time.
    @Test
    void earliestPollOfSeriesOfMovesHolds() {
        for (int seed = 0; seed < SEEDS; seed++) {
            DiscoveryPollSchedule schedule = schedule(8400, DEADLINE_MILLIS, seed);
            schedule.moved(NOW);
            double drawn = actions.lastWake();
            schedule.moved(Math.min(drawn, NOW + 900));
            assertTrue(actions.lastWake() <= drawn);
        }
    }

    // Guards against a late change from a silent watch that cancels the poll for the current list.
    @Test
    void changeFromSilentWatchCancelsNoPoll() {
        PolicySettings settings = settings(1, DEADLINE_MILLIS).build();
        LossThrottlingPolicy policy = new LossThrottlingPolicy(settings, 1, actions);
        policy.start(NOW);
        policy.wake(actions.lastWake());
        policy.listCurrency().answered(NOW);
        policy.endpointsChanged(NOW, WatchEvent.SNAPSHOT, List.of());
        int watches = actions.watches();
        policy.listCurrency().watchFellSilent();
        policy.endpointsChanged(NOW + 2500, WatchEvent.IDLE_TIMEOUT, List.of());
        policy.endpointsChanged(NOW + 2500, WatchEvent.DELTA, List.of());
        policy.wake(NOW + 2500);
        assertEquals(watches + 1, actions.watches());
    }

    // Without a poll deadline a failed call must not be repeated without a pause.
    @Test
    void backsOffWithoutPollDeadline() {
        for (int seed = 0; seed < SEEDS; seed++) {
            DiscoveryPollSchedule schedule = schedule(1, 0, seed);
            schedule.start(NOW);
            for (int i = 0; i < 5; i++) {
                double polledAt = poll(schedule);
                schedule.failed(polledAt);
                assertNextPollWithin(polledAt + 150, polledAt + INTERVAL_MILLIS);
            }
        }
    }

    @Test
    void spreadsPollsWiderAfterEachRejection() {
        for (int sidecars : new int[] {1, 30, 8400}) {
            double spreadMillis = Math.min(MAX_SPREAD_MILLIS, Math.max(sidecars * 10, (sidecars - 8) * 200));
            for (int seed = 0; seed < SEEDS; seed++) {
                DiscoveryPollSchedule schedule = schedule(sidecars, DEADLINE_MILLIS, seed);
                schedule.start(NOW);
                double wanted = spreadMillis / 2;
                for (int i = 0; i < 5; i++) {
                    double rejectedAt = poll(schedule) + 2000;
                    schedule.rejected(rejectedAt);
                    // Six tenths of 5850 ms at most, so that the call may wait for two seconds more.
                    assertNextPollWithin(rejectedAt + 150, rejectedAt + Math.min(3510, 150 + Math.max(600, wanted)));
                    wanted *= 2;
                }
                schedule.listReceived();
                schedule.rejected(NOW);
                assertNextPollWithin(NOW + 150, NOW + 150 + Math.max(600, spreadMillis / 2));
            }
        }
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
