package loadbalancer.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import loadbalancer.testing.CoreWaitLog;
import loadbalancer.testing.EndpointPair;

/** Runs cases side by side, each with a process of its own, and checks that each drain is in force in time. */
final class DrainDeadline {
    /** The operators' term: a change counts as known so long after discovery had it and could be reached. */
    private static final double NOTIFIED_WITHIN_MILLIS = 6000;

    private static final double MAX_MILLIS = NOTIFIED_WITHIN_MILLIS + EndpointPair.DRAIN_GRACE_MILLIS;

    private DrainDeadline() {}

    /** One case, carried out with a process of its own. */
    interface Scenario {
        DrainScenario.Result run(Path directory, String listMode) throws Exception;
    }

    /** Fails with all cases in which requests went to the draining endpoint too late. */
    static void assertInTime(Path directory, String listMode, List<DrainCase> cases) throws Exception {
        assertInTime(directory, listMode, cases, MAX_MILLIS);
    }

    /** The same with a bound of the caller's. */
    static void assertInTime(Path directory, String listMode, List<DrainCase> cases, double maxMillis)
            throws Exception {
        Map<String, Scenario> scenarios = new LinkedHashMap<>();
        for (DrainCase drainCase : cases) {
            scenarios.put(drainCase.name(), (own, mode) -> new DrainScenario(own, mode, drainCase).run());
        }
        assertAllInTime(directory, listMode, scenarios, maxMillis);
    }

    /** The same for any cases, by their names. */
    static void assertAllInTime(Path directory, String listMode, Map<String, Scenario> cases, double maxMillis)
            throws Exception {
        Map<String, String> late = new LinkedHashMap<>();
        measureAll(directory, listMode, cases).forEach((name, result) -> {
            // While the stand-in gets no processor time, discovery can't be reached.
            if (result.millis() > maxMillis + result.standInMillis()) {
                late.put(name, (long) result.millis() + " ms, log: " + result.log());
            }
        });
        assertEquals(Map.of(), late);
    }

    /** Prints for how long the stand-ins' own threads got no core, which tells a late machine from a late program. */
    private static Map<String, DrainScenario.Result> measureAll(
            Path directory, String listMode, Map<String, Scenario> cases) throws Exception {
        ScheduledExecutorService sampler = Executors.newSingleThreadScheduledExecutor();
        long startNanos = System.nanoTime();
        CoreWaitLog waits = CoreWaitLog.start(
                sampler, () -> ProgramProcess.threadsOf(ProcessHandle.current().pid()));
        try {
            return measureSideBySide(directory, listMode, cases);
        } finally {
            sampler.shutdownNow();
            System.out.println(listMode + ", threads of the stand-ins waited for a core for "
                    + Math.round(waits.waitedMillis(startNanos, System.nanoTime())) + " ms");
        }
    }

    private static Map<String, DrainScenario.Result> measureSideBySide(
            Path directory, String listMode, Map<String, Scenario> cases) throws Exception {
        ExecutorService threads = Executors.newCachedThreadPool();
        try {
            Map<String, Future<DrainScenario.Result>> measured = new LinkedHashMap<>();
            for (Map.Entry<String, Scenario> scenario : cases.entrySet()) {
                Path own = Files.createDirectories(directory.resolve(listMode + measured.size()));
                measured.put(scenario.getKey(), threads.submit(() -> scenario.getValue()
                        .run(own, listMode)));
            }
            Map<String, DrainScenario.Result> results = new LinkedHashMap<>();
            for (Map.Entry<String, Future<DrainScenario.Result>> entry : measured.entrySet()) {
                DrainScenario.Result result = entry.getValue().get();
                results.put(entry.getKey(), result);
                System.out.println(listMode + ", " + entry.getKey() + ": " + Math.round(result.millis()) + " ms"
                        + (result.standInMillis() > 0
                                ? ", stand-in late by " + Math.round(result.standInMillis())
                                : ""));
            }
            return results;
        } finally {
            threads.shutdownNow();
        }
    }
}
