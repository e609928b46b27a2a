import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Discovery is asked by a fleet of three. Its watch ends by a reset, and its path is cut twice, for 5.8 and 6 s. In
 * the 1.4 s between the cuts each call would be answered at once. An endpoint begins to drain in the first cut.
 */
final class TwoCuts {
    private static final int SIDECARS = 3;
    private static final int ENDPOINTS = 6;
    private static final double FIRST_CUT_MILLIS = 5800;
    private static final double REACHABLE_MILLIS = 1400;
    private static final double SECOND_CUT_MILLIS = 6000;
    private static final double TOLD_MILLIS = 6000;
    private static final double GRACE_MILLIS = 550;

    public static void main(String[] args) {
        Kit.run(TwoCuts::play);
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
            ready.put(host, Kit.entry(host, server.dial(), i % 2 == 0 ? "hki-1" : "oulu-1", i, "ready", 0));
        }
        discovery.change(ready);
        Kit.Sidecar sidecar = new Kit.Sidecar("n0");
        String settings =
                Kit.settings("ask", SIDECARS, 0, Kit.requestClass("stop-info", "idempotent", "all", 1000, 2000, 5000));
        sidecar.writeConfig(Kit.config(sidecar, discovery.address(), discovery.wholeList(), settings));
        sidecar.start();
        sidecar.awaitReady(30_000);
        List<Kit.Result> results = new CopyOnWriteArrayList<>();
        double first = Kit.now();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            clients.add(Kit.paced(sidecar.port, first + 25_000, 60, "stop-info", 1.0, results));
        }
        Kit.sleep(5000);
        // Half way between two empty lines.
        double line = discovery.lastEmptyLineAt;
        while (discovery.lastEmptyLineAt == line) {
            Kit.sleep(5);
        }
        Kit.sleepUntil(discovery.lastEmptyLineAt + 1000);
        double begin = Kit.now();
        if (!Kit.calm()) {
            discovery.resetWatches();
            discovery.cut();
        }
        Kit.sleepUntil(begin + 1000);
        Kit.EndpointServer draining = servers.get(0);
        discovery.change(Map.of(draining.host, Kit.entry(draining.host, draining.dial(), "hki-1", 0, "draining", 0)));
        Kit.note(draining.host + " begins to drain, which discovery has");
        if (!Kit.calm()) {
            Kit.sleepUntil(begin + FIRST_CUT_MILLIS);
            discovery.heal();
            Kit.sleepUntil(begin + FIRST_CUT_MILLIS + REACHABLE_MILLIS);
            discovery.cut();
            Kit.sleepUntil(begin + FIRST_CUT_MILLIS + REACHABLE_MILLIS + SECOND_CUT_MILLIS);
            discovery.heal();
        }
        for (Thread client : clients) {
            client.join();
        }
        double due = begin + FIRST_CUT_MILLIS + TOLD_MILLIS + GRACE_MILLIS;
        for (Kit.Arrival arrival : draining.arrivals) {
            if (arrival.message.firstByteAt > due) {
                Kit.note(String.format(
                        "%s got %s %.1f ms after discovery was back in reach", draining.host, arrival.id(),
                        arrival.message.firstByteAt - begin - FIRST_CUT_MILLIS));
            }
        }
        long served = results.stream().filter(result -> result.status == 200).count();
        Kit.note(served + " of " + results.size() + " requests served; " + draining.host + " got "
                + draining.arrivals.size());
        if (served < results.size() / 2 || draining.arrivals.isEmpty()) {
            throw new Kit.CannotRun("the sidecar does not serve");
        }
        long broken = draining.countAfter(due);
        return broken == 0 ? null : broken + " requests were sent to " + draining.host + ", which drains";
    }
}
