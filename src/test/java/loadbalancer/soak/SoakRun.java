package loadbalancer.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import loadbalancer.testing.PauseDetector;

/** One run of a soak: real processes among stand-ins and faults, all drawn from one seed. */
final class SoakRun {
    /** After the faults a drain has this long to come into force, with the longest grace. */
    private static final int SETTLE_MILLIS = 7500;

    private static final int MAX_ACTION_SECONDS = 120;
    private static final int TERMINATION_INTERVAL_MILLIS = 100;
    private static final int CONCURRENT_STARTS = 6;
    private static final long MIN_PAUSE_MILLIS = 20;

    private final long seed;
    private final Path directory;
    private final Random random;
    private final SoakDeployment deployment;
    private final SoakRecords records = new SoakRecords();
    private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(4);
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final List<SoakEndpoint> endpoints = new CopyOnWriteArrayList<>();
    private final List<SoakProcess> sidecars = new ArrayList<>();
    private final List<SoakClient> clients = new ArrayList<>();
    private final SoakDiscovery discovery;
    private final Semaphore startSlots = new Semaphore(CONCURRENT_STARTS);
    private String firstList;
    private SoakOracle.DrainChecks drainChecks;

    SoakRun(long seed, Path directory) {
        this.seed = seed;
        this.directory = directory;
        this.random = new Random(seed);
        this.deployment = SoakDeployment.draw(random);
        this.discovery = new SoakDiscovery(
                records,
                random.nextLong(),
                deployment.listPushed() ? deployment.graceMillis() : Double.POSITIVE_INFINITY,
                scheduler);
    }

    SoakDeployment deployment() {
        return deployment;
    }

    /** Returns one line on the run. */
    String summary(List<String> violations) {
        return SoakReport.summary(seed, deployment, records, violations) + ", " + drainChecks;
    }

    SoakDiscovery discovery() {
        return discovery;
    }

    SoakEndpoint endpoint(int index) {
        return endpoints.get(index);
    }

    SoakProcess sidecar(int index) {
        return sidecars.get(index);
    }

    /** Plays the run and returns what was violated. */
    List<String> play() throws Exception {
        List<SoakFaults.Fault> faults = SoakFaults.draw(random, deployment);
        try {
            PauseDetector.start(scheduler, MIN_PAUSE_MILLIS, records::paused);
            startAll();
            scheduler.scheduleWithFixedDelay(
                    new HoldUpSampler(sidecars, records), 0, HoldUpSampler.INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            List<Future<?>> actions = new CopyOnWriteArrayList<>();
            for (SoakFaults.Fault fault : faults) {
                scheduler.schedule(
                        () -> actions.add(threads.submit(() -> run(fault))), fault.atMillis(), TimeUnit.MILLISECONDS);
            }
            SoakEndpoint.pause(SoakFaults.END_MILLIS);
            endpoints.forEach(endpoint -> endpoint.behave(SoakEndpoint.Behaviour.SERVE));
            discovery.setCallsFaulty(false);
            for (Future<?> action : actions) {
                action.get(MAX_ACTION_SECONDS, TimeUnit.SECONDS);
            }
            SoakEndpoint.pause(SETTLE_MILLIS);
            endAll();
            SoakOracle oracle = new SoakOracle(deployment, records);
            List<String> violations = oracle.check(sidecars);
            drainChecks = oracle.drainChecks();
            SoakReport.write(directory, seed, deployment, records, violations);
            return violations;
        } finally {
            close();
        }
    }

    private Void run(SoakFaults.Fault fault) throws Exception {
        fault.action().run(this);
        return null;
    }

    private void startAll() throws Exception {
        for (int i = 0; i < deployment.endpoints(); i++) {
            addEndpoint(0);
        }
        firstList = discovery.wholeList();
        List<Future<?>> starts = new ArrayList<>();
        for (int i = 0; i < deployment.sidecars(); i++) {
            SoakProcess sidecar = new SoakProcess(
                    i,
                    deployment,
                    records,
                    directory.resolve("sidecar-" + i),
                    Long.toHexString(random.nextLong() >>> 1 | 1L << 60),
                    discovery.openPort(i),
                    discovery.openPort(i));
            sidecars.add(sidecar);
            starts.add(threads.submit(() -> startInTurn(sidecar)));
        }
        for (Future<?> start : starts) {
            start.get(MAX_ACTION_SECONDS, TimeUnit.SECONDS);
        }
        for (SoakProcess sidecar : sidecars) {
            for (int i = 0; i < deployment.clientsPerSidecar(); i++) {
                SoakClient client = new SoakClient(sidecar, deployment, records, random.nextLong());
                clients.add(client);
                threads.execute(client);
            }
        }
    }

    // Processes that start all together share the machine's cores, which sidecars on machines of their own do not.
    private Void startInTurn(SoakProcess sidecar) throws IOException, InterruptedException {
        startSlots.acquire();
        try {
            sidecar.start(firstList);
            sidecar.awaitReady();
        } finally {
            startSlots.release();
        }
        return null;
    }

    private void addEndpoint(long startedAtMillis) throws IOException {
        SoakEndpoint endpoint = new SoakEndpoint("e" + endpoints.size(), records, random.nextLong());
        endpoints.add(endpoint);
        discovery.change(endpoint.id(), endpoint.address(), "ready", startedAtMillis);
    }

    /** A new endpoint starts, cold. */
    synchronized void startEndpoint() throws IOException {
        records.changes.add(new SoakRecords.EndpointChange("e" + endpoints.size(), true, records.now()));
        addEndpoint(System.currentTimeMillis());
    }

    /** An endpoint drains or is gone from now on; it goes on answering. */
    synchronized void changeEndpoint(int index, String health) {
        SoakEndpoint endpoint = endpoints.get(index);
        records.changes.add(new SoakRecords.EndpointChange(endpoint.id(), false, records.now()));
        discovery.change(endpoint.id(), endpoint.address(), health, 0);
    }

    void move(int index) throws IOException, InterruptedException {
        sidecars.get(index).move(firstList);
    }

    /**
     * Ends a process and starts the next one.
     *
     * @param terminations how often SIGTERM comes before the SIGKILL, which comes at its earliest
     */
    void restart(int index, int terminations) throws IOException, InterruptedException {
        SoakProcess sidecar = sidecars.get(index);
        boolean planned = terminations > 0;
        if (planned) {
            double killMillis = records.now() + deployment.earliestKillMillis();
            for (int i = 0; i < terminations; i++) {
                sidecar.terminate();
                SoakEndpoint.pause(TERMINATION_INTERVAL_MILLIS);
            }
            SoakEndpoint.pause((long) (killMillis - records.now()));
        }
        sidecar.kill(planned);
        SoakEndpoint.pause(200);
        sidecar.start(firstList);
        sidecar.awaitReady();
    }

    private void endAll() throws Exception {
        for (SoakProcess sidecar : sidecars) {
            if (sidecar.hasEnded()) {
                records.event(sidecar.index(), "crashed");
            }
            sidecar.recordResources();
            sidecar.terminate();
        }
        SoakEndpoint.pause(deployment.earliestKillMillis());
        for (SoakProcess sidecar : sidecars) {
            sidecar.kill(true);
        }
        clients.forEach(SoakClient::stop);
        threads.shutdown();
        threads.awaitTermination(MAX_ACTION_SECONDS, TimeUnit.SECONDS);
    }

    private void close() throws IOException {
        clients.forEach(SoakClient::stop);
        sidecars.forEach(SoakProcess::close);
        threads.shutdownNow();
        scheduler.shutdownNow();
        discovery.close();
        for (SoakEndpoint endpoint : endpoints) {
            endpoint.close();
        }
    }
}
