package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** What the policy does for the watch on the endpoint list: when it wakes, asks for a call and writes a line. */
class DiscoveryPollerTest {
    private static final double NOW = 5000;

    private final RecordingActions actions = new RecordingActions();

    private LossThrottlingPolicy started(SettingsBuilder settings) {
        LossThrottlingPolicy policy = new LossThrottlingPolicy(settings.build(), 1, actions);
        policy.prepare(NOW);
        return policy;
    }

    private static SettingsBuilder settings() {
        return SettingsBuilder.forClasses(RequestClasses.HIGH_PRIORITY).pollDeadlineMillis(10_000);
    }

    private void wake(LossThrottlingPolicy policy) {
        policy.wake(actions.lastWake());
    }

    @Test
    void asksForNoCallIfListIsPushed() {
        started(settings().endpointListPushed());
        assertEquals(0, actions.wakes());
    }

    @Test
    void receivedListCancelsCallAndEndsOutage() {
        LossThrottlingPolicy policy = started(settings());
        wake(policy);
        assertEquals(1, actions.watches());
        policy.endpointsChanged(NOW, WatchEvent.FAILED, List.of());
        policy.endpointsChanged(NOW, WatchEvent.REJECTED, List.of());
        assertEquals(List.of("endpoint list unavailable, using the last known list"), actions.log());
        policy.endpointsChanged(NOW, WatchEvent.SNAPSHOT, List.of());
        assertEquals("endpoint list available again", actions.log().get(1));
        wake(policy);
        assertEquals(1, actions.watches());
        policy.endpointsChanged(NOW, WatchEvent.DELTA, List.of());
        assertEquals(2, actions.log().size());
    }

    @Test
    void firstCallTakesPlaceDespiteEarlierList() {
        LossThrottlingPolicy policy = started(settings());
        policy.endpointsChanged(NOW, WatchEvent.SNAPSHOT, List.of());
        wake(policy);
        assertEquals(1, actions.watches());
    }

    // Guards against a late change from a silent watch that cancels the call for the current list.
    @Test
    void changeFromSilentWatchCancelsNoCall() {
        LossThrottlingPolicy policy = started(settings());
        wake(policy);
        policy.discoveryCalls().currency().answered(NOW);
        policy.endpointsChanged(NOW, WatchEvent.SNAPSHOT, List.of());
        int watches = actions.watches();
        policy.discoveryCalls().currency().watchFellSilent(NOW + 2500);
        policy.endpointsChanged(NOW + 2500, WatchEvent.IDLE_TIMEOUT, List.of());
        policy.endpointsChanged(NOW + 2500, WatchEvent.DELTA, List.of());
        policy.wake(NOW + 2500);
        assertEquals(watches + 1, actions.watches());
    }
}
