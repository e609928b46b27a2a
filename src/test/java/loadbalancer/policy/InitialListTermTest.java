package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** For how long a process goes on by the list that it was started with while discovery has not answered. */
class InitialListTermTest {
    private static final int SEEDS = 40;
    /** The term of 6 s, less a second for the start of the process. */
    private static final double TERM_MILLIS = 5000;
    /** In such a fleet the first call may come after half a second. */
    private static final int LARGE_FLEET = 100;

    private static SettingsBuilder settings(int sidecars) {
        return SettingsBuilder.forClasses(RequestClasses.HIGH_PRIORITY)
                .sidecars(sidecars)
                .pollDeadlineMillis(10_000);
    }

    private static PolicyHarness startedWithOldList(SettingsBuilder settings, long seed) {
        PolicyHarness harness = new PolicyHarness(settings.build(), seed);
        harness.start(0);
        harness.watchEvent(0, WatchEvent.STALE_SNAPSHOT, Endpoints.fleet(6));
        return harness;
    }

    private static boolean forwardsAt(PolicyHarness harness, double millis) {
        harness.runTo(millis);
        PolicyRequest request = harness.request(millis, 0);
        boolean forwarded = harness.forwarded(request);
        if (forwarded) {
            harness.endLastAttempt(millis + 1, request, AttemptOutcome.SUCCESS, 1);
        }
        return forwarded;
    }

    /** Returns when it first asks discovery, without an answer. */
    private static double firstCallMillis(SettingsBuilder settings, long seed) {
        PolicyHarness harness = startedWithOldList(settings, seed);
        double at = 0;
        while (harness.watches() == 0) {
            at += 10;
            harness.runTo(at);
        }
        return at;
    }

    // Guards against a start whose first call comes after discovery went out of reach, and that goes on by a list on
    // which endpoints that drain are ready.
    @Test
    void processThatCallsLateRejectsOnceItsListMayBeTooOld() {
        int rejecting = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            boolean callsLate = firstCallMillis(settings(LARGE_FLEET), seed) > 510;
            PolicyHarness harness = startedWithOldList(settings(LARGE_FLEET), seed);
            assertTrue(forwardsAt(harness, TERM_MILLIS - 10));
            assertEquals(!callsLate, forwardsAt(harness, TERM_MILLIS + 10));
            assertEquals(!callsLate, forwardsAt(harness, TERM_MILLIS + 60_000));
            rejecting += callsLate ? 1 : 0;
        }
        assertTrue(rejecting > SEEDS / 2, "most calls are spread: " + rejecting);
    }

    @ParameterizedTest
    @EnumSource(
            value = WatchEvent.class,
            names = {"SNAPSHOT", "DELTA"})
    void listOfDiscoveryEndsRejections(WatchEvent event) {
        for (long seed = 0; seed < SEEDS; seed++) {
            PolicyHarness harness = startedWithOldList(settings(LARGE_FLEET), seed);
            forwardsAt(harness, TERM_MILLIS + 1000);
            harness.watchEvent(TERM_MILLIS + 2000, event, Endpoints.fleet(6));
            harness.watchEvent(TERM_MILLIS + 2500, WatchEvent.FAILED);
            assertTrue(forwardsAt(harness, TERM_MILLIS + 3000));
            assertTrue(forwardsAt(harness, TERM_MILLIS + 90_000));
        }
    }

    @Test
    void answerWithoutListEndsRejections() {
        PolicySettings settings = settings(LARGE_FLEET).build();
        LossThrottlingPolicy policy = new LossThrottlingPolicy(settings, 3, new RecordingActions());
        policy.start(0);
        assertFalse(policy.discoveryCalls().listUsable(TERM_MILLIS));
        policy.discoveryCalls().callBegun(TERM_MILLIS, false);
        policy.discoveryCalls().callAnswered();
        assertTrue(policy.discoveryCalls().listUsable(TERM_MILLIS));
    }

    // A process that called at once has missed nothing: discovery was out of reach before.
    @ParameterizedTest
    @ValueSource(ints = {1, 8, 10})
    void processOfSmallFleetGoesOnByItsList(int sidecars) {
        for (long seed = 0; seed < SEEDS; seed++) {
            assertTrue(forwardsAt(startedWithOldList(settings(sidecars), seed), 60_000));
        }
    }

    @Test
    void pushedListsHaveNoTermOfTheirOwn() {
        SettingsBuilder pushed = settings(LARGE_FLEET).endpointListPushed();
        assertTrue(forwardsAt(startedWithOldList(pushed, 1), 60_000));
    }
}
