package loadbalancer.lifecycle;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import loadbalancer.testing.EndpointPair;
import loadbalancer.testing.PathDiscovery;
import loadbalancer.testing.PathDiscovery.CallTreatment;
import loadbalancer.testing.PathTreatment;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A drain is in force in time though discovery can be reached for short times only; on processes. */
class ReachWindowDeadlineTest {
    private static final double NOTIFIED_WITHIN_MILLIS = 6000;
    /** Every time limit of the operators is longer by this much on sockets. */
    private static final double SLACK_MILLIS = 50;

    private static final long SHORT_GRACE_MILLIS = 300;
    private static final long OUTAGE_MILLIS = 7000;
    private static final long QUIET_MILLIS = 10_000;
    private static final long LATE_MILLIS = 200;

    @TempDir
    Path directory;

    private static DrainDeadline.Scenario scenario(
            Consumer<PathDiscovery> beforeStart, DiscoveryPathScenario.Case drainCase) {
        return scenario(EndpointPair.DRAIN_GRACE_MILLIS, PathTreatment.PROMPT, beforeStart, drainCase);
    }

    private static DrainDeadline.Scenario scenario(
            long graceMillis,
            PathTreatment path,
            Consumer<PathDiscovery> beforeStart,
            DiscoveryPathScenario.Case drainCase) {
        return (directory, listMode) ->
                DiscoveryPathScenario.run(directory, listMode, graceMillis, call -> path, beforeStart, drainCase);
    }

    /** The first watches end after their lists, discovery answers for a while after the drain, and then calls hang. */
    private static DrainDeadline.Scenario outageAfterShortWatches(int shortWatches, long reachableMillis) {
        return scenario(
                discovery -> discovery.treatNextCalls(shortWatches, CallTreatment.ENDED_AFTER_LIST), scenario -> {
                    PathDiscovery discovery = scenario.discovery();
                    for (int i = 0; i < shortWatches; i++) {
                        discovery.awaitWatchEnded();
                    }
                    discovery.runAfter(reachableMillis, () -> discovery.treatCalls(CallTreatment.NEVER_ANSWERED));
                    discovery.runAfter(
                            reachableMillis + OUTAGE_MILLIS, () -> discovery.treatCalls(CallTreatment.ANSWERED));
                    return scenario.drain();
                });
    }

    /** After a quiet time the watch is reset, and the next calls get lost. */
    private static DrainDeadline.Scenario lostCallsAfterReset(
            int lostCalls, PathTreatment path, Consumer<PathDiscovery> beforeStart) {
        return scenario(EndpointPair.DRAIN_GRACE_MILLIS, path, beforeStart, scenario -> {
            PathDiscovery discovery = scenario.discovery();
            scenario.sendFor(QUIET_MILLIS);
            discovery.run(() -> {
                discovery.treatNextCalls(lostCalls, CallTreatment.NEVER_ANSWERED);
                discovery.resetWatches();
            });
            return scenario.drain();
        });
    }

    /** The service is silent and its calls are lost; the drain comes at its return. */
    private static DrainDeadline.Scenario silence(long graceMillis, long silentMillis) {
        return scenario(graceMillis, PathTreatment.PROMPT, discovery -> {}, scenario -> {
            PathDiscovery discovery = scenario.discovery();
            scenario.sendFor(QUIET_MILLIS);
            discovery.run(() -> {
                discovery.treatCalls(CallTreatment.NEVER_ANSWERED);
                discovery.darkenWatches();
            });
            scenario.sendFor(silentMillis);
            discovery.run(() -> discovery.treatCalls(CallTreatment.ANSWERED));
            return scenario.drain();
        });
    }

    private static double maxMillis(String listMode, long graceMillis) {
        return listMode.equals("push") ? graceMillis + SLACK_MILLIS : NOTIFIED_WITHIN_MILLIS + graceMillis;
    }

    // Guards against a pause after a watch that ends early, in which discovery answers and is not called.
    @ParameterizedTest
    @ValueSource(strings = {"ask", "push"})
    void drainIsInForceInTimeThoughWatchesEndEarlyBeforeOutage(String listMode) throws Exception {
        Map<String, DrainDeadline.Scenario> cases = new LinkedHashMap<>();
        cases.put("three short watches, 1.0 s of reach", outageAfterShortWatches(3, 1000));
        cases.put("three short watches, 1.5 s of reach", outageAfterShortWatches(3, 1500));
        cases.put("four short watches, 1.0 s of reach", outageAfterShortWatches(4, 1000));
        DrainDeadline.assertAllInTime(directory, listMode, cases, maxMillis(listMode, EndpointPair.DRAIN_GRACE_MILLIS));
    }

    // Guards against an interval between calls to a local agent that has grown though each call was answered.
    @Test
    void pushedDrainIsInForceWithinGraceThoughPathsAreLateAndCallIsLost() throws Exception {
        DrainDeadline.assertAllInTime(
                directory,
                "push",
                Map.of(
                        "paths late by 0.2 s, a reset, one call lost",
                        lostCallsAfterReset(1, PathTreatment.late(LATE_MILLIS), discovery -> {})),
                maxMillis("push", EndpointPair.DRAIN_GRACE_MILLIS));
    }

    // Guards against an interval between calls to a local agent that grows while it is silent.
    @Test
    void pushedDrainIsInForceWithinGraceAfterSilenceOfAgent() throws Exception {
        assertInForceAfterSilence(EndpointPair.DRAIN_GRACE_MILLIS);
    }

    // Guards against the same with a grace that leaves less time.
    @Test
    void pushedDrainIsInForceWithinShortGraceAfterSilenceOfAgent() throws Exception {
        assertInForceAfterSilence(SHORT_GRACE_MILLIS);
    }

    private void assertInForceAfterSilence(long graceMillis) throws Exception {
        Map<String, DrainDeadline.Scenario> cases = new LinkedHashMap<>();
        for (long silentMillis : new long[] {4000, 8000, 15_000}) {
            cases.put("grace " + graceMillis + " ms, silent for " + silentMillis, silence(graceMillis, silentMillis));
        }
        DrainDeadline.assertAllInTime(directory, "push", cases, maxMillis("push", graceMillis));
    }

    // Guards against waits for lost calls to a local agent that add up to more than the grace.
    @Test
    void pushedDrainIsInForceWithinGraceThoughCallsAreLostOrSlowAfterReset() throws Exception {
        Map<String, DrainDeadline.Scenario> cases = new LinkedHashMap<>();
        cases.put("a reset, three calls lost", lostCallsAfterReset(3, PathTreatment.PROMPT, discovery -> {}));
        cases.put(
                "answers after 0.2 s, a reset, one call lost",
                lostCallsAfterReset(1, PathTreatment.PROMPT, discovery -> discovery.answerCallsAfter(LATE_MILLIS)));
        DrainDeadline.assertAllInTime(directory, "push", cases, maxMillis("push", EndpointPair.DRAIN_GRACE_MILLIS));
    }
}
