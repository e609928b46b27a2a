package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** When calls to discovery follow each other beside one that is not answered, in fleets of any size. */
class UnansweredCallPacingTest {
    private static final double NOW = 5000;
    private static final int GRACE_MILLIS = 500;
    /** Three eighths of the 6 s within which a change must be in force, less 150 ms for a pause. */
    private static final double INTERVAL_MILLIS = 2193.75;

    private ListCurrency currency;

    private DiscoveryCallSchedule schedule(int sidecars, int graceMillis) {
        PolicySettings settings = SettingsBuilder.forClasses(RequestClasses.HIGH_PRIORITY)
                .sidecars(sidecars)
                .pollDeadlineMillis(10_000)
                .drainGraceMillis(graceMillis)
                .build();
        currency = new ListCurrency(settings.rules());
        DiscoveryCallSchedule schedule = new DiscoveryCallSchedule(settings, currency, new SplittableRandom(1));
        schedule.started(NOW);
        return schedule;
    }

    private DiscoveryCallSchedule schedule(int sidecars) {
        return schedule(sidecars, GRACE_MILLIS);
    }

    @ParameterizedTest
    @ValueSource(ints = {110, 840})
    void callBesideUnansweredOneOfLargeFleetComesFasterAsTheTermRunsOut(int sidecars) {
        DiscoveryCallSchedule schedule = schedule(sidecars);
        schedule.callBegun(NOW, false);
        assertEquals(NOW + INTERVAL_MILLIS, schedule.callBesideMillis());
        schedule.callBegun(NOW + INTERVAL_MILLIS, false);
        assertEquals(NOW + INTERVAL_MILLIS + 0.375 * (5850 - INTERVAL_MILLIS), schedule.callBesideMillis(), 1e-6);
        schedule.callAnswered();
        assertEquals(Double.POSITIVE_INFINITY, schedule.callBesideMillis());
    }

    // Guards against calls whose distance jumps at some size of the fleet, or is set by the length of the term.
    @ParameterizedTest
    @CsvSource({"1, 300, 300", "8, 800, 300", "9, 900, 300", "14, 1400, 300", "20, 2000, 400", "60, 2193.75, 1371.09375"
    })
    void callBesideUnansweredOneWaitsForTurnsOfFleet(int sidecars, double firstMillis, double furtherMillis) {
        DiscoveryCallSchedule schedule = schedule(sidecars);
        schedule.callBegun(NOW, false);
        assertEquals(NOW + firstMillis, schedule.callBesideMillis(), 1e-6);
        schedule.callBegun(NOW + firstMillis, false);
        assertEquals(NOW + firstMillis + furtherMillis, schedule.callBesideMillis(), 1e-6);
        schedule.callAnswered();
        assertEquals(Double.POSITIVE_INFINITY, schedule.callBesideMillis());
    }

    // Guards against a call that comes too late after a cut, since calls are slowest when what was missed comes due.
    @ParameterizedTest
    @CsvSource({
        "1, 300, 2250",
        "1, 500, 2750",
        "3, 500, 2500",
        "8, 500, 2250",
        "8, 1100, 2750",
        "9, 500, 2500",
        "14, 500, 2250",
        "100, 500, 2750",
        "840, 500, 2500"
    })
    void callBeginsWheneverWhatSilentWatchHasMissedComesDue(int sidecars, int graceMillis, int noticedAfterMillis) {
        DiscoveryCallSchedule schedule = schedule(sidecars, graceMillis);
        currency.answered(NOW);
        schedule.silenceNoticed(NOW + noticedAfterMillis);
        List<Double> calls = callsFrom(schedule, NOW + noticedAfterMillis, NOW + 10_000);
        // The silence may have begun at any time since the last line. A process may be held up for 150 ms of the grace.
        for (double silentMillis = NOW; silentMillis <= NOW + noticedAfterMillis; silentMillis += 10) {
            double dueMillis = silentMillis + 6000;
            assertTrue(
                    calls.stream().anyMatch(call -> call >= dueMillis && call <= dueMillis + graceMillis - 150),
                    "due at " + dueMillis + ", calls at " + calls);
        }
    }

    // Guards against a drain that is ignored for over a grace period once discovery is back after a longer cut.
    @Test
    void callsBesideSilentWatchKeepFollowingWithinGraceOnceOverdue() {
        DiscoveryCallSchedule schedule = schedule(3);
        currency.answered(NOW);
        schedule.silenceNoticed(NOW + 2250);
        List<Double> calls = callsFrom(schedule, NOW + 2250, NOW + 30_000);
        for (int i = 1; i < calls.size(); i++) {
            boolean overdue = calls.get(i - 1) >= NOW + 6000;
            assertTrue(!overdue || calls.get(i) - calls.get(i - 1) <= 500, "calls at " + calls);
        }
    }

    @Test
    void callBeginsWhenMoveComesDue() {
        DiscoveryCallSchedule schedule = schedule(3);
        currency.answered(NOW);
        currency.moved(NOW);
        List<Double> calls = callsFrom(schedule, NOW + 20, NOW + 10_000);
        assertTrue(calls.stream().anyMatch(call -> call >= NOW + 4000 && call <= NOW + 4350), "calls at " + calls);
    }

    private static List<Double> callsFrom(DiscoveryCallSchedule schedule, double fromMillis, double untilMillis) {
        List<Double> calls = new ArrayList<>();
        for (double at = fromMillis; at < untilMillis; at = schedule.callBesideMillis()) {
            calls.add(at);
            schedule.callBegun(at, false);
        }
        return calls;
    }
}
