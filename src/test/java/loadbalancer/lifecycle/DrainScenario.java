package loadbalancer.lifecycle;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import loadbalancer.lifecycle.DrainCase.Trouble;
import loadbalancer.testing.EndpointPair;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.ScriptedDiscovery;
import loadbalancer.testing.TestClient;

/**
 * A sidecar process that serves requests while one of its two endpoints starts draining, and whose calls to discovery
 * are treated by a script. Measures until when the draining endpoint gets requests.
 */
final class DrainScenario {
    private static final int SIDECARS_IN_FLEET = 100;
    private static final long MOVE_INTERVAL_MILLIS = 900;
    private static final int MOVES = 10;

    private final Path directory;
    private final String listMode;
    private final DrainCase drainCase;
    private final Path configuration;

    DrainScenario(Path directory, String listMode, DrainCase drainCase) {
        this.directory = directory;
        this.listMode = listMode;
        this.drainCase = drainCase;
        this.configuration = directory.resolve("configuration.json");
    }

    /**
     * What was seen.
     *
     * @param millis from when discovery had the change and the sidecar served, to the last request that the draining
     *     endpoint got; at most {@link EndpointPair#GIVE_UP_AFTER_MILLIS}
     * @param standInMillis for how long the stand-in for discovery got no processor time
     * @param log what the sidecar wrote
     */
    record Result(double millis, double standInMillis, String log) {}

    /** Runs it. */
    Result run() throws Exception {
        try (EndpointPair endpoints = new EndpointPair();
                ScriptedDiscovery discovery = newDiscovery(endpoints)) {
            return run(endpoints, discovery);
        }
    }

    private ScriptedDiscovery newDiscovery(EndpointPair endpoints) throws IOException {
        return drainCase.trouble() == Trouble.BEFORE_START
                ? new ScriptedDiscovery(endpoints.listAfter(), drainCase.script())
                : new ScriptedDiscovery(endpoints.listBefore(), List.of(DrainCase.after(0)));
    }

    private Result run(EndpointPair endpoints, ScriptedDiscovery discovery) throws Exception {
        String listen = FakeServer.refusing();
        writeConfiguration(endpoints, listen, discovery);
        try (ProgramProcess sidecar = ProgramProcess.start(directory.resolve("errors"), configuration, "serve");
                TestClient client = sidecar.connect(ProgramProcess.port(listen))) {
            // From the first moment of a process on, unless the change comes later.
            long startNanos = System.nanoTime();
            awaitReady(client);
            if (drainCase.trouble() == Trouble.BEFORE_START) {
                return new Result(
                        endpoints.sendUntilQuiet(client, startNanos),
                        discovery.stoodStillMillis(),
                        sidecar.errorText());
            }
            discovery.awaitWatch();
            return new Result(
                    drain(endpoints, discovery, listen, sidecar, client),
                    discovery.stoodStillMillis(),
                    sidecar.errorText());
        }
    }

    private double drain(
            EndpointPair endpoints,
            ScriptedDiscovery discovery,
            String listen,
            ProgramProcess sidecar,
            TestClient client)
            throws Exception {
        long startNanos = System.nanoTime();
        if (drainCase.trouble() == Trouble.MOVES) {
            return drainDuringMoves(endpoints, discovery, listen, sidecar, client);
        }
        if (drainCase.trouble() == Trouble.WATCH_SILENT) {
            discovery.changeAndSilenceWatches(endpoints.listAfter(), drainCase.script());
        } else {
            discovery.changeAndDelayWatches(endpoints.listAfter(), drainCase.script(), drainCase.lineIntervalMillis());
        }
        return endpoints.sendUntilQuiet(client, startNanos);
    }

    private double drainDuringMoves(
            EndpointPair endpoints, ScriptedDiscovery first, String listen, ProgramProcess sidecar, TestClient client)
            throws Exception {
        ScheduledExecutorService signals = Executors.newSingleThreadScheduledExecutor();
        try (ScriptedDiscovery second = new ScriptedDiscovery(endpoints.listAfter(), drainCase.script())) {
            long startNanos = System.nanoTime();
            first.changeAndSilenceWatches(endpoints.listAfter(), drainCase.script());
            for (int i = 0; i < MOVES; i++) {
                ScriptedDiscovery next = i % 2 == 0 ? second : first;
                signals.schedule(
                        () -> move(endpoints, listen, next, sidecar), i * MOVE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            }
            return endpoints.sendUntilQuiet(client, startNanos);
        } finally {
            signals.shutdownNow();
        }
    }

    private Void move(EndpointPair endpoints, String listen, ScriptedDiscovery next, ProgramProcess sidecar)
            throws Exception {
        writeConfiguration(endpoints, listen, next);
        sidecar.signal("HUP");
        return null;
    }

    private void writeConfiguration(EndpointPair endpoints, String listen, ScriptedDiscovery discovery)
            throws IOException {
        Files.writeString(
                configuration,
                endpoints.configuration(listen, discovery.address(), SIDECARS_IN_FLEET, listMode, drainCase.seed()));
    }

    /** Waits until the process serves. */
    static void awaitReady(TestClient client) throws IOException {
        while (client.exchange("GET /health/ready HTTP/1.1\r\n\r\n").status() != 200) {
            EndpointPair.pause();
        }
    }
}
