package loadbalancer.lifecycle;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.IntFunction;
import loadbalancer.testing.EndpointPair;
import loadbalancer.testing.PathTreatment;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A drain is in force in time though connections to a discovery service in order have late paths; on processes. */
class LatePathDeadlineTest {
    private static final double NOTIFIED_WITHIN_MILLIS = 6000;
    private static final double MAX_MILLIS = NOTIFIED_WITHIN_MILLIS + EndpointPair.DRAIN_GRACE_MILLIS;
    /** Every time limit of the operators is longer by this much on sockets. */
    private static final double SLACK_MILLIS = 50;

    @TempDir
    Path directory;

    private static IntFunction<PathTreatment> firstLate(double millis) {
        return call -> call == 0 ? PathTreatment.late(millis) : PathTreatment.PROMPT;
    }

    private static IntFunction<PathTreatment> throttled(double bytesPerSecond) {
        return call -> PathTreatment.throttled(bytesPerSecond);
    }

    private static DrainDeadline.Scenario scenario(
            IntFunction<PathTreatment> paths, DiscoveryPathScenario.Case drainCase) {
        return (directory, listMode) -> DiscoveryPathScenario.run(directory, listMode, paths, drainCase);
    }

    // Guards against a call answered late that takes the watch over from a prompt one, and then goes silent.
    @ParameterizedTest
    @ValueSource(strings = {"ask", "push"})
    void drainIsInForceInTimeThoughPathOfLateAnswerGoesDark(String listMode) throws Exception {
        Map<String, DrainDeadline.Scenario> cases = new LinkedHashMap<>();
        cases.put(
                "first path late by 4.5 s, then dark",
                scenario(firstLate(4500), DiscoveryPathScenario::drainOncePathIsDark));
        cases.put(
                "first path late by 5.5 s, then dark",
                scenario(firstLate(5500), DiscoveryPathScenario::drainOncePathIsDark));
        DrainDeadline.assertAllInTime(directory, listMode, cases, MAX_MILLIS);
    }

    // Guards against a call answered late that takes the watch over from a prompt one, so that all changes are late.
    @ParameterizedTest
    @ValueSource(strings = {"ask", "push"})
    void drainIsInForceInTimeThoughCallIsAnsweredLate(String listMode) throws Exception {
        Map<String, DrainDeadline.Scenario> cases = new LinkedHashMap<>();
        cases.put("first path late by 5.5 s", scenario(firstLate(5500), DiscoveryPathScenario::drainLater));
        cases.put("first path late by 6.3 s", scenario(firstLate(6300), DiscoveryPathScenario::drainLater));
        double maxMillis = listMode.equals("push") ? EndpointPair.DRAIN_GRACE_MILLIS + SLACK_MILLIS : MAX_MILLIS;
        DrainDeadline.assertAllInTime(directory, listMode, cases, maxMillis);
    }

    // Guards against a delay that grows unseen while changes come steadily. No path lets a change through within the
    // grace here, so that the term holds for pushed lists too.
    @ParameterizedTest
    @ValueSource(strings = {"ask", "push"})
    void drainIsInForceInTimeThoughPathIsSlowerThanChanges(String listMode) throws Exception {
        Map<String, DrainDeadline.Scenario> cases = new LinkedHashMap<>();
        cases.put("900 bytes a second", scenario(throttled(900), DiscoveryPathScenario::drainAfterChurn));
        cases.put("500 bytes a second", scenario(throttled(500), DiscoveryPathScenario::drainAfterChurn));
        DrainDeadline.assertAllInTime(directory, listMode, cases, MAX_MILLIS);
    }

    // Guards against a move that makes an endpoint ready again of which this process knows that it drains.
    @ParameterizedTest
    @ValueSource(strings = {"ask", "push"})
    void drainStaysInForceThoughDiscoveryMovesToServiceThatLags(String listMode) throws Exception {
        Map<String, DrainDeadline.Scenario> cases = new LinkedHashMap<>();
        cases.put(
                "service that lags by 4 s",
                scenario(call -> PathTreatment.PROMPT, DiscoveryPathScenario::moveToLaggingService));
        DrainDeadline.assertAllInTime(directory, listMode, cases, EndpointPair.DRAIN_GRACE_MILLIS + SLACK_MILLIS);
    }
}
