package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** When the next call to discovery begins after each event, by who serves the calls and how many call. */
class DiscoveryCallScheduleTest {
    private static final int SEEDS = 100;
    private static final double DEADLINE_MILLIS = 10_000;
    private static final double NOW = 5000;
    /** Three eighths of the 6 s within which a change must be in force, less 150 ms for a pause. */
    private static final double INTERVAL_MILLIS = 2193.75;
    /** Seven tenths of the same. */
    private static final double MAX_SPREAD_MILLIS = 4095;
    /** The smallest fleet whose calls may crowd the service; its calls are spread over 200 ms. */
    private static final int SMALLEST_LARGE_FLEET = 9;

    private static final double SMALL_FLEET_MAX_PAUSE_MILLIS = 600;
    /** A fifth of the grace of 500 ms. */
    private static final double AGENT_INTERVAL_MILLIS = 100;

    private ListCurrency currency;

    private static SettingsBuilder settings(int sidecars, double pollDeadlineMillis) {
        return SettingsBuilder.forClasses(RequestClasses.HIGH_PRIORITY)
                .sidecars(sidecars)
                .pollDeadlineMillis(pollDeadlineMillis);
    }

    private DiscoveryCallSchedule schedule(int sidecars, double pollDeadlineMillis, long seed) {
        return schedule(settings(sidecars, pollDeadlineMillis), seed);
    }

    private DiscoveryCallSchedule schedule(SettingsBuilder builder, long seed) {
        PolicySettings settings = builder.build();
        currency = new ListCurrency(settings.rules());
        DiscoveryCallSchedule schedule = new DiscoveryCallSchedule(settings, currency, new SplittableRandom(seed));
        schedule.started(NOW);
        return schedule;
    }

    private DiscoveryCallSchedule agentSchedule() {
        return schedule(settings(100, DEADLINE_MILLIS).drainGraceMillis(500).endpointListPushed(), 1);
    }

    private static void assertNextCallWithin(double from, double until, DiscoveryCallSchedule schedule) {
        double next = schedule.nextCallMillis();
        assertTrue(next >= from && next <= until, next + " is not from " + from + " to " + until);
    }

    /** Asks for the call that is due, and returns when that was. */
    private static double request(DiscoveryCallSchedule schedule) {
        double at = schedule.nextCallMillis();
        schedule.callRequested(at);
        return at;
    }

    @Test
    void spreadsFirstCallByNumberOfSidecars() {
        double latest = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            assertNextCallWithin(NOW, NOW + 8 * 10, schedule(8, DEADLINE_MILLIS, seed));
            assertNextCallWithin(NOW, NOW + 12 * 200, schedule(20, DEADLINE_MILLIS, seed));
            DiscoveryCallSchedule large = schedule(100, DEADLINE_MILLIS, seed);
            assertNextCallWithin(NOW, NOW + MAX_SPREAD_MILLIS, large);
            latest = Math.max(latest, large.nextCallMillis());
            // At most 0.4 of the deadline.
            assertNextCallWithin(NOW, NOW + 200, schedule(8400, 500, seed));
        }
        assertTrue(latest > NOW + 0.95 * MAX_SPREAD_MILLIS, "the spread is used: " + latest);
    }

    @Test
    void callsAtOnceAfterSilenceAndWithinSecondAfterMove() {
        for (int seed = 0; seed < SEEDS; seed++) {
            DiscoveryCallSchedule schedule = schedule(8400, DEADLINE_MILLIS, seed);
            schedule.watchFellSilent(NOW);
            assertEquals(NOW, schedule.nextCallMillis());
            schedule.callRequested(NOW);
            schedule.moved(NOW);
            assertNextCallWithin(NOW, NOW + 1000, schedule);
        }
    }

    // Guards against pauses that grow, or are set by the length of the term, while discovery goes out of reach.
    @ParameterizedTest
    @ValueSource(ints = {1, 5, 8})
    void smallFleetCallsSoonAfterEachEndWhateverCallsBrought(int sidecars) {
        for (int seed = 0; seed < SEEDS; seed++) {
            DiscoveryCallSchedule schedule = schedule(sidecars, DEADLINE_MILLIS, seed);
            for (int i = 0; i < 20; i++) {
                double requestedAt = request(schedule);
                if (seed % 2 == 0) {
                    currency.answered(requestedAt);
                    schedule.callAnswered();
                }
                double endedAt = requestedAt + 100 * i;
                schedule.callEnded(endedAt);
                assertNextCallWithin(endedAt + 100, endedAt + 200 + 10 * sidecars, schedule);
                double rejectedAt = request(schedule) + 2000;
                schedule.callRejected(rejectedAt);
                assertNextCallWithin(rejectedAt + 150, rejectedAt + SMALL_FLEET_MAX_PAUSE_MILLIS, schedule);
            }
        }
    }

    @Test
    void doublesBackoffUpToSecondInLargeFleet() {
        // 0.5 to 1.5 times the backoff, and 200 ms of spread.
        for (int seed = 0; seed < SEEDS; seed++) {
            DiscoveryCallSchedule schedule = schedule(SMALLEST_LARGE_FLEET, DEADLINE_MILLIS, seed);
            for (double backoffMillis : new double[] {300, 600, 1000, 1000}) {
                schedule.callEnded(NOW);
                assertNextCallWithin(NOW + 0.5 * backoffMillis, NOW + 1.5 * backoffMillis + 200, schedule);
            }
        }
    }

    private void assertBackoffStartsOver(BiConsumer<DiscoveryCallSchedule, Double> event) {
        for (int seed = 0; seed < SEEDS; seed++) {
            DiscoveryCallSchedule schedule = schedule(SMALLEST_LARGE_FLEET, DEADLINE_MILLIS, seed);
            schedule.callRequested(NOW);
            for (int i = 0; i < 4; i++) {
                schedule.callEnded(NOW);
                schedule.callRejected(NOW);
            }
            event.accept(schedule, NOW);
            schedule.callEnded(NOW);
            assertNextCallWithin(NOW + 150, NOW + 650, schedule);
            schedule.callRejected(NOW);
            assertNextCallWithin(NOW + 150, NOW + 750, schedule);
        }
    }

    // What is counted of failed and rejected calls goes back at each event that says the service is not overloaded.
    @Test
    void backoffOfLargeFleetStartsOverAfterAnswer() {
        assertBackoffStartsOver((schedule, now) -> schedule.callAnswered());
    }

    @Test
    void backoffOfLargeFleetStartsOverAfterList() {
        assertBackoffStartsOver((schedule, now) -> schedule.listReceived());
    }

    @Test
    void backoffOfLargeFleetStartsOverAfterSilence() {
        assertBackoffStartsOver(DiscoveryCallSchedule::watchFellSilent);
    }

    @Test
    void backoffOfLargeFleetStartsOverAfterMove() {
        assertBackoffStartsOver(DiscoveryCallSchedule::moved);
    }

    // Guards against a pause after short watches, in which discovery answers for the last time and is not called.
    @Test
    void pausesNoLongerAfterFurtherShortWatches() {
        for (int seed = 0; seed < SEEDS; seed++) {
            DiscoveryCallSchedule schedule = schedule(SMALLEST_LARGE_FLEET, DEADLINE_MILLIS, seed);
            for (double lifeMillis : new double[] {10, 10, 0, 1900, 2100, 10}) {
                double requestedAt = request(schedule);
                currency.answered(requestedAt);
                schedule.callAnswered();
                double endedAt = requestedAt + lifeMillis;
                schedule.callEnded(endedAt);
                assertNextCallWithin(endedAt + 150, endedAt + 650, schedule);
            }
        }
    }

    @Test
    void fitsBackoffAndSpreadIntoTheInterval() {
        for (int seed = 0; seed < SEEDS; seed++) {
            DiscoveryCallSchedule schedule = schedule(8400, DEADLINE_MILLIS, seed);
            double requestedAt = request(schedule);
            schedule.callEnded(requestedAt);
            assertNextCallWithin(requestedAt, requestedAt + INTERVAL_MILLIS, schedule);
            requestedAt = request(schedule);
            schedule.callEnded(requestedAt + 1700);
            assertNextCallWithin(requestedAt + 1700, requestedAt + INTERVAL_MILLIS, schedule);
            requestedAt = request(schedule);
            schedule.callEnded(requestedAt + 2100);
            // What is left of the interval would be 94 ms; 300 ms is the least.
            assertNextCallWithin(requestedAt + 2100, requestedAt + 2400, schedule);
        }
    }

    @Test
    void usesAllThatIsLeftOfTheInterval() {
        double latestMillis = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            DiscoveryCallSchedule schedule = schedule(SMALLEST_LARGE_FLEET, DEADLINE_MILLIS, seed);
            schedule.callEnded(NOW);
            schedule.callEnded(NOW);
            double requestedAt = request(schedule);
            currency.confirmed(requestedAt + 1700);
            // The backoff is a second by now, and the longest wait 1700 ms, of which 493.75 ms are left.
            schedule.callEnded(requestedAt + 1700);
            assertNextCallWithin(requestedAt + 1700 + 500 * 493.75 / 1700, requestedAt + INTERVAL_MILLIS, schedule);
            latestMillis = Math.max(latestMillis, schedule.nextCallMillis() - requestedAt);
        }
        assertTrue(latestMillis > INTERVAL_MILLIS - 50, "the latest begins after " + latestMillis);
    }

    // Guards against a sum of pauses after a watch fell silent that is longer than the term, whatever the calls meet.
    @Test
    void pausesAfterFailuresBesideSilentWatchFitIntoTheTerm() {
        for (int seed = 0; seed < SEEDS; seed++) {
            DiscoveryCallSchedule schedule = schedule(8400, DEADLINE_MILLIS, seed);
            currency.watchFellSilent(NOW + 2750);
            double failedAt = NOW + 2750;
            schedule.watchFellSilent(failedAt);
            for (int i = 0; i < 4; i++) {
                failedAt = request(schedule);
                schedule.callEnded(failedAt);
            }
            assertNextCallWithin(failedAt, NOW + 5850, schedule);
        }
    }

    @Test
    void pausesAfterFailuresAreSpreadThoughTheTermRunsOut() {
        double latestMillis = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            DiscoveryCallSchedule schedule = schedule(8400, DEADLINE_MILLIS, seed);
            schedule.callEnded(NOW + 5800);
            assertNextCallWithin(NOW + 5800, NOW + 5800 + 0.35 * MAX_SPREAD_MILLIS, schedule);
            latestMillis = Math.max(latestMillis, schedule.nextCallMillis() - NOW - 5800);
        }
        assertTrue(latestMillis > 1000, "the latest begins after " + latestMillis);
    }

    // Guards against a series of moves that puts off the call each time.
    @Test
    void earliestCallOfSeriesOfMovesHolds() {
        for (int seed = 0; seed < SEEDS; seed++) {
            DiscoveryCallSchedule schedule = schedule(8400, DEADLINE_MILLIS, seed);
            schedule.callRequested(NOW);
            schedule.moved(NOW);
            double drawn = schedule.nextCallMillis();
            schedule.moved(Math.min(drawn, NOW + 900));
            assertTrue(schedule.nextCallMillis() <= drawn);
        }
    }

    // Without a poll deadline a failed call must not be repeated without a pause.
    @ParameterizedTest
    @ValueSource(ints = {1, SMALLEST_LARGE_FLEET})
    void pausesWithoutPollDeadline(int sidecars) {
        for (int seed = 0; seed < SEEDS; seed++) {
            DiscoveryCallSchedule schedule = schedule(sidecars, 0, seed);
            for (int i = 0; i < 5; i++) {
                double requestedAt = request(schedule);
                schedule.callEnded(requestedAt);
                assertNextCallWithin(requestedAt + 100, requestedAt + INTERVAL_MILLIS, schedule);
            }
        }
    }

    @Test
    void spreadsCallsOfLargeFleetWiderAfterEachRejection() {
        for (int sidecars : new int[] {SMALLEST_LARGE_FLEET, 30, 8400}) {
            double spreadMillis = Math.min(MAX_SPREAD_MILLIS, (sidecars - 8) * 200);
            for (int seed = 0; seed < SEEDS; seed++) {
                DiscoveryCallSchedule schedule = schedule(sidecars, DEADLINE_MILLIS, seed);
                double wanted = spreadMillis / 2;
                for (int i = 0; i < 5; i++) {
                    double rejectedAt = request(schedule) + 2000;
                    schedule.callRejected(rejectedAt);
                    // Six tenths of 5850 ms at most, so that the call may wait for two seconds more.
                    double untilMillis = rejectedAt + Math.min(3510, 150 + Math.max(600, wanted));
                    assertNextCallWithin(rejectedAt + 150, untilMillis, schedule);
                    wanted *= 2;
                }
            }
        }
    }

    // Guards against an interval between calls to a local agent that grows, or that begins with the end of a call.
    @Test
    void callsLocalAgentAtEachIntervalWhateverBecameOfCalls() {
        DiscoveryCallSchedule schedule = agentSchedule();
        double begunAt = NOW;
        for (int call = 0; call < 600; call++) {
            schedule.callBegun(begunAt, false);
            assertEquals(begunAt + AGENT_INTERVAL_MILLIS, schedule.callBesideMillis());
            assertTrue(schedule.callBesideDue(begunAt + AGENT_INTERVAL_MILLIS, null));
            assertFalse(schedule.callBesideDue(begunAt + AGENT_INTERVAL_MILLIS - 1, null));
            switch (call % 4) {
                case 0 -> schedule.callEnded(begunAt + 1);
                case 1 -> schedule.callRejected(begunAt + 1);
                case 2 -> {
                    schedule.callAnswered();
                    schedule.callEnded(begunAt + 1);
                }
                default -> schedule.watchFellSilent(begunAt + 1);
            }
            assertEquals(begunAt + AGENT_INTERVAL_MILLIS, schedule.nextCallMillis());
            begunAt = schedule.nextCallMillis();
        }
    }

    @Test
    void callsLocalAgentAtOnceAfterEndOfLongWatchAndAfterMove() {
        DiscoveryCallSchedule schedule = agentSchedule();
        schedule.callBegun(NOW, false);
        schedule.callAnswered();
        schedule.callEnded(NOW + 10_000);
        assertEquals(NOW + 10_000, schedule.nextCallMillis());
        schedule.callRequested(NOW + 10_000);
        schedule.callBegun(NOW + 10_000, false);
        schedule.moved(NOW + 10_001);
        assertEquals(NOW + 10_001, schedule.nextCallMillis());
    }

    // Guards against a call beside the watch that nothing follows, since a list came on the watch meanwhile.
    @Test
    void listOnWatchCancelsNoCallBesideUnansweredOne() {
        DiscoveryCallSchedule schedule = schedule(1, DEADLINE_MILLIS, 1);
        schedule.callBegun(NOW, true);
        double besideMillis = schedule.callBesideMillis();
        schedule.listReceived();
        assertEquals(besideMillis, schedule.callBesideMillis());
    }
}
