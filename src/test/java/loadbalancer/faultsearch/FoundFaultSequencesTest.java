package loadbalancer.faultsearch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import loadbalancer.faultsearch.Step.Kind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Sequences that searches by hand have found, cut down to the fewest steps. */
class FoundFaultSequencesTest {
    private static final int GRACE_MILLIS = 500;
    private static final int ASK_WITHIN_MILLIS = 10_000;
    private static final int SMALL_FLEET = 5;
    private static final int LARGE_FLEET = 100;

    private static Step step(Kind kind, int atMillis) {
        return step(kind, atMillis, 0);
    }

    private static Step step(Kind kind, int atMillis, int target) {
        return new Step(kind, atMillis, 0, 0, target);
    }

    private static Step fault(Kind kind, int atMillis, int durationMillis, double amount) {
        return new Step(kind, atMillis, durationMillis, amount, 0);
    }

    private static void assertKept(long seed, boolean pushed, int sidecars, boolean tellsChanges, Step... steps) {
        FaultSequence sequence = new FaultSequence(
                seed, pushed, sidecars, GRACE_MILLIS, ASK_WITHIN_MILLIS, tellsChanges, true, List.of(steps));
        VirtualRun.Result result = VirtualRun.play(sequence);
        assertEquals(List.of(), result.violations(), () -> String.join("\n", result.log()));
    }

    // Guards against a delay that grows while lists come steadily, in a fleet whose confirming calls are spread.
    @Test
    void growingDelayInLargeFleetKeepsDrains() {
        assertKept(
                41104,
                false,
                LARGE_FLEET,
                false,
                fault(Kind.CHURN, 1714, 16964, 690),
                fault(Kind.GROWING_PATH, 9379, 5674, 0.9),
                step(Kind.DRAIN, 20863));
    }

    // Guards against a whole list on a late call that takes back what the watch has told since.
    @Test
    void lateAnswerOfOlderVersionKeepsDrains() {
        assertKept(
                61981,
                false,
                SMALL_FLEET,
                false,
                step(Kind.DRAIN, 17569, 4),
                step(Kind.TAKE_BACK, 20161, 4),
                step(Kind.DRAIN, 23813),
                fault(Kind.LATE_PATH, 24990, 771, 5120),
                step(Kind.RESTART, 29198));
    }

    // Guards against an endpoint that the whole list of an address in between has left out.
    @Test
    void listOfAddressInBetweenKeepsDrains() {
        assertKept(
                68414,
                false,
                SMALL_FLEET,
                true,
                fault(Kind.LAG, 18418, 11245, 3499),
                fault(Kind.THROTTLE, 19796, 60000, 721),
                step(Kind.REMOVE, 27269, 3),
                step(Kind.MOVE, 27746),
                step(Kind.MOVE, 27995));
    }

    // Guards against a judgement by a silence after which a watch was opened.
    @Test
    void silenceThatIsOverKeepsDrains() {
        assertKept(
                71089,
                false,
                LARGE_FLEET,
                true,
                step(Kind.REMOVE, 12202, 3),
                step(Kind.DARK_ALL, 15169),
                step(Kind.DARK_ALL, 17596),
                fault(Kind.LATE_PATH, 19009, 5243, 2920),
                step(Kind.DRAIN, 22797),
                step(Kind.DRAIN, 30135, 2));
    }

    // Guards against the same where lists are pushed, over a slow path.
    @Test
    void pushedListOfAddressInBetweenKeepsDrains() {
        assertKept(
                89776,
                true,
                SMALL_FLEET,
                true,
                fault(Kind.THROTTLE, 0, 60000, 975),
                fault(Kind.CHURN, 15962, 21393, 268),
                step(Kind.DRAIN, 42903),
                step(Kind.REMOVE, 42944, 4),
                step(Kind.MOVE, 43210),
                step(Kind.MOVE, 44325));
    }

    // Guards against a whole list that comes in a burst after what the watch has told.
    @Test
    void burstOfOlderVersionKeepsDrains() {
        assertKept(
                102223,
                false,
                SMALL_FLEET,
                false,
                step(Kind.DRAIN, 1761),
                step(Kind.RESTART, 6898),
                step(Kind.DRAIN, 14876, 4),
                step(Kind.DARK_ALL, 26118),
                step(Kind.DRAIN, 26259, 2),
                step(Kind.DRAIN, 27792, 1),
                step(Kind.TAKE_BACK, 28952, 1),
                step(Kind.DRAIN, 30786, 3),
                fault(Kind.BURST_PATH, 31398, 869, 2417),
                step(Kind.RESTART, 33033, 2));
    }

    // Guards against an endpoint that a service which lags has not named yet, and that gets no request any more.
    @Test
    void startUnknownToLaggingServiceKeepsDrains() {
        assertKept(
                105996,
                false,
                SMALL_FLEET,
                true,
                fault(Kind.LAG, 9546, 17902, 2954),
                step(Kind.REMOVE, 18989, 1),
                step(Kind.MOVE, 25372),
                step(Kind.RESTART, 25625, 1),
                step(Kind.MOVE, 25908),
                step(Kind.MOVE, 27802));
    }

    private static void assertCutKeepsDrains(int sidecars, int atMillis, int cutMillis) {
        assertKept(
                1,
                false,
                sidecars,
                true,
                step(Kind.DARK_ALL, atMillis),
                fault(Kind.IGNORE_CALLS, atMillis, cutMillis, 0),
                step(Kind.DRAIN, atMillis + 500));
    }

    // Guards against calls that come further apart just when what a silent watch has missed comes due.
    @Test
    void cutThatEndsShortlyBeforeTheTermKeepsDrains() {
        for (int cutMillis = 1000; cutMillis <= 6000; cutMillis += 100) {
            for (int atMillis = 12_000; atMillis < 14_000; atMillis += 200) {
                assertCutKeepsDrains(SMALL_FLEET, atMillis, cutMillis);
            }
        }
    }

    // Guards against the same in fleets whose calls may crowd the service, and in the smallest ones.
    @ParameterizedTest
    @ValueSource(ints = {3, 9, 14, 100, 840})
    void cutThatEndsShortlyBeforeTheTermKeepsDrainsInFleetsOfAnySize(int sidecars) {
        for (int cutMillis = 1000; cutMillis <= 6000; cutMillis += 200) {
            for (int atMillis = 22_000; atMillis < 24_000; atMillis += 400) {
                assertCutKeepsDrains(sidecars, atMillis, cutMillis);
            }
        }
    }

    // Guards against calls after the end of a watch that come further apart than the time of reach between two cuts.
    @ParameterizedTest
    @ValueSource(ints = {3, 8, 9})
    void reachBetweenTwoCutsAfterEndOfWatchKeepsDrains(int sidecars) {
        for (int cutMillis = 1000; cutMillis <= 8000; cutMillis += 500) {
            for (int reachMillis = 600; reachMillis <= 2400; reachMillis += 200) {
                int atMillis = 12_000 + (cutMillis + reachMillis) % 1900;
                assertKept(
                        1,
                        false,
                        sidecars,
                        true,
                        step(Kind.END_ALL, atMillis),
                        fault(Kind.IGNORE_CALLS, atMillis, cutMillis, 0),
                        step(Kind.DRAIN, atMillis + cutMillis - 100),
                        fault(Kind.IGNORE_CALLS, atMillis + cutMillis + reachMillis, 7000, 0));
            }
        }
    }

    // Guards against a process that is started with an old list and whose first call comes when discovery is out of
    // reach again.
    @ParameterizedTest
    @ValueSource(ints = {3, 14, 30, 100})
    void outageSoonAfterStartKeepsDrains(int sidecars) {
        for (Kind outage : List.of(Kind.RESET_CALLS, Kind.IGNORE_CALLS, Kind.REJECT)) {
            for (int afterMillis = 500; afterMillis <= 10_000; afterMillis += 1000) {
                for (long seed = 1; seed <= 6; seed++) {
                    assertKept(
                            seed,
                            false,
                            sidecars,
                            true,
                            step(Kind.DRAIN, 20_000),
                            fault(Kind.RESTART_PROCESS, 20_500, 0, 2000),
                            step(Kind.END_ALL, 20_500 + afterMillis),
                            fault(outage, 20_500 + afterMillis, 8000, 0));
                }
            }
        }
    }
}
