import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Discovery is asked by a fleet of 100, of which four sidecars are played. They are killed, half of the endpoints begin
 * to drain, and they are started again with the list that they had. Discovery can be reached for 1.5 s from the start,
 * then it is down for 8 s.
 */
final class RestartInOutage {
    private static final int SIDECARS = 100;
    private static final int PLAYED = 4;
    private static final int ENDPOINTS = 6;
    private static final int DRAINING = 3;
    private static final double REACHABLE_MILLIS = 1500;
    private static final double OUTAGE_MILLIS = 8000;
    private static final double TOLD_MILLIS = 6000;
    private static final double GRACE_MILLIS = 550;

    public static void main(String[] args) {
        Kit.run(RestartInOutage::play);
    }

    private static String play() throws Exception {
        List<Kit.EndpointServer> servers = new ArrayList<>();
        Kit.Discovery discovery = new Kit.Discovery();
        Map<String, String> ready = new LinkedHashMap<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            String host = "s-" + i;
            Kit.EndpointServer server = new Kit.EndpointServer(host, arrival -> {
                Kit.sleep(20);
                arrival.answer(200, "from " + host + " for " + arrival.id());
            });
            servers.add(server);
            ready.put(host, entry(server, i, "ready"));
        }
        discovery.change(ready);
        String known = discovery.wholeList();
        List<Kit.Sidecar> sidecars = new ArrayList<>();
        for (int i = 0; i < PLAYED; i++) {
            Kit.Sidecar sidecar = new Kit.Sidecar("n" + i);
            String settings = Kit.settings(
                    "ask", SIDECARS, i, Kit.requestClass("stop-info", "idempotent", "all", 1000, 2000, 5000));
            sidecar.writeConfig(Kit.config(sidecar, discovery.address(), known, settings));
            sidecar.start();
            sidecars.add(sidecar);
        }
        for (Kit.Sidecar sidecar : sidecars) {
            sidecar.awaitReady(30_000);
        }
        // The first calls of the fleet are spread over some 4 s.
        Kit.sleep(6000);
        for (Kit.Sidecar sidecar : sidecars) {
            sidecar.kill();
        }
        Map<String, String> drains = new LinkedHashMap<>();
        for (int i = 0; i < DRAINING; i++) {
            drains.put("s-" + i, entry(servers.get(i), i, "draining"));
        }
        discovery.change(drains);
        Kit.note(drains.keySet() + " begin to drain, which discovery has");
        Kit.sleep(500);
        double start = Kit.now();
        for (Kit.Sidecar sidecar : sidecars) {
            sidecar.start();
        }
        // From the last start on, discovery can be reached by all of them.
        double started = Kit.now();
        if (!Kit.calm()) {
            Kit.background("outage", () -> outage(discovery, started));
        }
        for (Kit.Sidecar sidecar : sidecars) {
            sidecar.awaitReady(30_000);
        }
        List<Kit.Result> results = new CopyOnWriteArrayList<>();
        List<Thread> clients = new ArrayList<>();
        double end = started + REACHABLE_MILLIS + OUTAGE_MILLIS + 1500;
        for (Kit.Sidecar sidecar : sidecars) {
            clients.add(Kit.paced(sidecar.port, end, 60, "stop-info", 1.0, results));
            clients.add(Kit.paced(sidecar.port, end, 60, "stop-info", 1.0, results));
        }
        for (Thread client : clients) {
            client.join();
        }
        return judge(servers, results, start, started);
    }

    private static String entry(Kit.EndpointServer server, int i, String health) {
        return Kit.entry(server.host, server.dial(), i % 2 == 0 ? "hki-1" : "oulu-1", i, health, 0);
    }

    private static void outage(Kit.Discovery discovery, double started) {
        try {
            Kit.sleepUntil(started + REACHABLE_MILLIS);
            discovery.goDown();
            Kit.sleep(OUTAGE_MILLIS);
            discovery.comeBack();
        } catch (Exception e) {
            Kit.note("discovery could not be stopped and started: " + e);
        }
    }

    private static String judge(
            List<Kit.EndpointServer> servers, List<Kit.Result> results, double start, double started) {
        double due = started + TOLD_MILLIS + GRACE_MILLIS;
        long broken = 0;
        for (Kit.EndpointServer server : servers) {
            Kit.note(server.host + " got " + server.countAfter(start) + " requests since the second start");
        }
        for (Kit.EndpointServer server : servers.subList(0, DRAINING)) {
            broken += server.countAfter(due);
            Kit.Arrival first = server.firstAfter(due);
            if (first != null) {
                Kit.note(String.format(
                        "%s, which drains, got %d requests over %.0f ms after the start, the first after %.1f ms",
                        server.host,
                        server.countAfter(due),
                        TOLD_MILLIS + GRACE_MILLIS,
                        first.message.firstByteAt - started));
            }
        }
        long served = results.stream().filter(result -> result.status == 200).count();
        Kit.note(served + " of " + results.size() + " requests served");
        if (served < results.size() / 4) {
            throw new Kit.CannotRun("the sidecars do not serve");
        }
        return broken == 0 ? null : broken + " requests were sent to endpoints that drain";
    }
}
