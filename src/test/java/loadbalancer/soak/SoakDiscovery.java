package loadbalancer.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import loadbalancer.testing.FakeServer;
import loadbalancer.testing.TestSidecar;

/**
 * A discovery service with two ports for each sidecar. Calls may get lost, be rejected or reset while calls are faulty;
 * at other times each has its turn within {@link #MAX_TURN_MILLIS}, or its answer is held up for so long, so that the
 * answers of two calls may come in another order than they were written. {@link SoakWatch} delays what follows.
 */
final class SoakDiscovery implements AutoCloseable {
    static final int MAX_TURN_MILLIS = 1200;
    private static final int LINE_INTERVAL_MILLIS = 2000;

    private record Host(String address, String health, long startedAtMillis) {}

    private final SoakRecords records;
    private final Random random;
    /** Infinity at a shared service. */
    private final double localAgentGraceMillis;

    private final ScheduledExecutorService scheduler;
    private final List<FakeServer> ports = new ArrayList<>();
    private final List<SoakWatch> watches = new CopyOnWriteArrayList<>();
    private final Map<String, Host> hosts = new LinkedHashMap<>();
    /** Those that are gone, for snapshots do not name them. */
    private final List<String> gone = new CopyOnWriteArrayList<>();

    private long version = 41;
    private volatile boolean callsFaulty;
    private boolean watchesShort;

    /**
     * A service without calls.
     *
     * @param localAgentGraceMillis the drain grace where it stands for the local agents of all sidecars; infinity where
     *     they share it
     */
    SoakDiscovery(SoakRecords records, long seed, double localAgentGraceMillis, ScheduledExecutorService scheduler) {
        this.records = records;
        this.random = new Random(seed);
        this.localAgentGraceMillis = localAgentGraceMillis;
        this.scheduler = scheduler;
        scheduler.scheduleAtFixedRate(
                this::writeEmptyLines, LINE_INTERVAL_MILLIS, LINE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Opens another port for this sidecar and returns its address. */
    String openPort(int sidecar) throws IOException {
        FakeServer port = new FakeServer((request, wire) -> called(sidecar, request.line(), wire));
        ports.add(port);
        return port.address();
    }

    /** From now on each watch ends in order after its list, the open ones at once; or they stay open. */
    synchronized void setWatchesShort(boolean isShort) {
        watchesShort = isShort;
        records.event(-1, isShort ? "watches end" : "watches stay open");
        if (isShort) {
            watches.forEach(SoakWatch::end);
            watches.clear();
        }
    }

    /** From now on calls fail in all ways, or none does. */
    void setCallsFaulty(boolean faulty) {
        callsFaulty = faulty;
        records.event(-1, faulty ? "calls fail" : "calls are handled");
    }

    /** Changes the state of an endpoint and tells it on all open watches. */
    synchronized void change(String endpoint, String address, String health, long startedAtMillis) {
        version++;
        if (health.equals("gone")) {
            hosts.remove(endpoint);
            gone.add(endpoint);
        } else {
            hosts.put(endpoint, new Host(address, health, startedAtMillis));
        }
        String list = TestSidecar.list(version, false, host(endpoint, address, health, startedAtMillis)) + "\n";
        List<String> retired = health.equals("ready") ? List.of() : List.of(endpoint);
        watches.forEach(watch -> watch.write(list, retired));
    }

    /** Returns the whole list. */
    synchronized String wholeList() {
        List<String> entries = new ArrayList<>();
        hosts.forEach((id, host) -> entries.add(host(id, host.address, host.health, host.startedAtMillis)));
        return TestSidecar.list(version, true, entries.toArray(new String[0]));
    }

    private synchronized List<String> retired() {
        List<String> retired = new ArrayList<>(gone);
        hosts.forEach((id, host) -> {
            if (!host.health.equals("ready")) {
                retired.add(id);
            }
        });
        return retired;
    }

    private static String host(String id, String address, String health, long startedAtMillis) {
        return TestSidecar.host(id, address, health).replace("\"born_ms\":0", "\"born_ms\":" + startedAtMillis);
    }

    private synchronized void called(int sidecar, String requestLine, FakeServer.Connection wire) throws IOException {
        if (!requestLine.contains("/registry/instances")) {
            wire.answer("404 Not Found", "", "");
            return;
        }
        if (callsFaulty) {
            fail(wire);
            return;
        }
        int turnMillis = Double.isFinite(localAgentGraceMillis) ? 0 : random.nextInt(MAX_TURN_MILLIS);
        SoakWatch watch = new SoakWatch(sidecar, wire, records, scheduler, random, localAgentGraceMillis);
        if (random.nextBoolean()) {
            answer(watch, turnMillis);
        } else {
            scheduler.schedule(() -> answer(watch, 0), turnMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void fail(FakeServer.Connection wire) throws IOException {
        switch (random.nextInt(4)) {
            case 0 -> wire.reset();
            case 1 -> wire.answer("503 Busy", "", "");
            case 2 -> wire.text(FakeServer.CHUNKED_HEAD + "10\r\n{\"seq\":41,\"whol");
            default -> {}
        }
    }

    // The lock orders the snapshot before the changes that follow it.
    private synchronized void answer(SoakWatch watch, int heldUpMillis) {
        watch.answer(wholeList() + "\n", retired(), heldUpMillis);
        if (watchesShort) {
            watch.end();
        } else {
            watches.add(watch);
        }
    }

    private void writeEmptyLines() {
        watches.removeIf(SoakWatch::ended);
        watches.forEach(watch -> watch.write("\n", List.of()));
    }

    @Override
    public void close() throws IOException {
        for (FakeServer port : ports) {
            port.close();
        }
    }
}
