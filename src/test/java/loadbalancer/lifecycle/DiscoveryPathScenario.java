package loadbalancer.lifecycle;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import loadbalancer.testing.EndpointPair;
import loadbalancer.testing.EndpointRegistry;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.PathDiscovery;
import loadbalancer.testing.PathTreatment;
import loadbalancer.testing.TestClient;

/**
 * A sidecar process behind a discovery service that is in order but for the paths of its connections, and for what a
 * case does to its calls. One of two endpoints starts draining; measures until when it gets requests.
 */
final class DiscoveryPathScenario {
    private static final int SIDECARS_IN_FLEET = 5;
    private static final long FIRST_VERSION = 41;
    /** The paths have shown what they are by then. */
    private static final long PREPARED_MILLIS = 9000;

    private static final long CHURN_MILLIS = 18_000;
    private static final long CHURN_INTERVAL_MILLIS = 500;
    private static final int CHURNED_HOSTS = 5;
    private static final long BEFORE_MOVE_MILLIS = 1500;
    private static final long LAG_MILLIS = 4000;
    private static final long AFTER_MOVE_MILLIS = 8000;

    private final Path configuration;
    private final String listMode;
    private final long drainGraceMillis;
    private final EndpointPair endpoints;
    private final PathDiscovery discovery;
    private final String listen = FakeServer.refusing();
    private final ProgramProcess sidecar;
    private final TestClient client;

    /** Carries out one case with a process that serves; returns milliseconds from the change to the last request. */
    interface Case {
        double run(DiscoveryPathScenario scenario) throws Exception;
    }

    private DiscoveryPathScenario(
            Path directory, String listMode, long drainGraceMillis, EndpointPair endpoints, PathDiscovery discovery)
            throws Exception {
        this.configuration = directory.resolve("configuration.json");
        this.listMode = listMode;
        this.drainGraceMillis = drainGraceMillis;
        this.endpoints = endpoints;
        this.discovery = discovery;
        configure(discovery);
        this.sidecar = ProgramProcess.start(directory.resolve("errors"), configuration, "serve");
        this.client = sidecar.connect(ProgramProcess.port(listen));
    }

    /** Starts a process whose connections to discovery have these paths, and runs the case. */
    static DrainScenario.Result run(Path directory, String listMode, IntFunction<PathTreatment> paths, Case drainCase)
            throws Exception {
        return run(directory, listMode, EndpointPair.DRAIN_GRACE_MILLIS, paths, discovery -> {}, drainCase);
    }

    /**
     * The same with this grace period.
     *
     * @param beforeStart prepares the service before the process calls it
     */
    static DrainScenario.Result run(
            Path directory,
            String listMode,
            long drainGraceMillis,
            IntFunction<PathTreatment> paths,
            Consumer<PathDiscovery> beforeStart,
            Case drainCase)
            throws Exception {
        try (EndpointPair endpoints = new EndpointPair();
                PathDiscovery discovery = new PathDiscovery(registry(endpoints), paths)) {
            discovery.run(() -> beforeStart.accept(discovery));
            DiscoveryPathScenario scenario =
                    new DiscoveryPathScenario(directory, listMode, drainGraceMillis, endpoints, discovery);
            try {
                DrainScenario.awaitReady(scenario.client);
                double millis = drainCase.run(scenario);
                return new DrainScenario.Result(millis, discovery.stoodStillMillis(), scenario.sidecar.errorText());
            } finally {
                scenario.client.close();
                scenario.sidecar.close();
            }
        }
    }

    private static EndpointRegistry registry(EndpointPair endpoints) {
        EndpointRegistry registry = new EndpointRegistry(FIRST_VERSION);
        registry.change(List.of(endpoints.drainingHost("ready"), endpoints.readyHost()));
        return registry;
    }

    private void configure(PathDiscovery service) throws IOException {
        String json = endpoints.configuration(listen, service.address(), SIDECARS_IN_FLEET, listMode);
        String defaultGrace = "\"drain_grace\":" + EndpointPair.DRAIN_GRACE_MILLIS;
        Files.writeString(configuration, json.replace(defaultGrace, "\"drain_grace\":" + drainGraceMillis));
    }

    /** Returns the service that the process calls. */
    PathDiscovery discovery() {
        return discovery;
    }

    /** Sends requests for so long. */
    void sendFor(long millis) throws IOException {
        endpoints.sendFor(client, millis, System.nanoTime());
    }

    /** Lets the endpoint drain, and returns milliseconds from then to its last request. */
    double drain() throws IOException {
        long drainNanos = System.nanoTime();
        discovery.change(endpoints.drainingHost("draining"));
        return endpoints.sendUntilQuiet(client, drainNanos);
    }

    /** The drain comes while all paths stay as they are. */
    double drainLater() throws IOException {
        endpoints.sendFor(client, PREPARED_MILLIS, System.nanoTime());
        return drain();
    }

    /** The first path goes dark right before the drain. */
    double drainOncePathIsDark() throws IOException {
        endpoints.sendFor(client, PREPARED_MILLIS, System.nanoTime());
        discovery.darkenFirstPath();
        return drain();
    }

    /** The drain comes after many changes of other endpoints. */
    double drainAfterChurn() throws IOException {
        ScheduledExecutorService churn = Executors.newSingleThreadScheduledExecutor();
        churn.scheduleAtFixedRate(this::churn, 0, CHURN_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        try {
            endpoints.sendFor(client, CHURN_MILLIS, System.nanoTime());
        } finally {
            churn.shutdownNow();
        }
        return drain();
    }

    // Endpoints that drain get no requests, so that nothing has to listen at their addresses.
    private void churn() {
        EndpointRegistry.Host[] hosts = new EndpointRegistry.Host[CHURNED_HOSTS];
        for (int i = 0; i < CHURNED_HOSTS; i++) {
            hosts[i] = new EndpointRegistry.Host("churned-" + i, "127.0.0.1:9", "draining", 0);
        }
        discovery.change(hosts);
    }

    /** Once the drain is known, discovery moves to a service that learns of it later. */
    double moveToLaggingService() throws Exception {
        EndpointRegistry lagging = registry(endpoints);
        ScheduledExecutorService later = Executors.newSingleThreadScheduledExecutor();
        try (PathDiscovery next = new PathDiscovery(lagging, call -> PathTreatment.PROMPT)) {
            long drainNanos = System.nanoTime();
            discovery.change(endpoints.drainingHost("draining"));
            double before = endpoints.sendFor(client, BEFORE_MOVE_MILLIS, drainNanos);
            configure(next);
            sidecar.signal("HUP");
            later.schedule(() -> next.change(endpoints.drainingHost("draining")), LAG_MILLIS, TimeUnit.MILLISECONDS);
            return Math.max(before, endpoints.sendFor(client, AFTER_MOVE_MILLIS, drainNanos));
        } finally {
            later.shutdownNow();
        }
    }
}
