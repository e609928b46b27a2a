import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Lists are pushed. A sidecar is killed; while it is away an endpoint begins to drain, which the agent has. Then
 * discovery goes down, and the sidecar starts again with the list that it had before.
 */
final class PushedStart {
    private static final int ENDPOINTS = 4;
    private static final double OUTAGE_MILLIS = 8000;
    /** The drain grace of the settings, and the 50 ms that hold on sockets. */
    private static final double GRACE_MILLIS = 550;

    public static void main(String[] args) {
        Kit.run(PushedStart::play);
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
        String known = discovery.wholeList();
        Kit.Sidecar sidecar = new Kit.Sidecar("n0");
        String settings = Kit.settings(
                "push", 3, 0, Kit.requestClass("stop-info", "idempotent", "all", 1000, 2000, 5000));
        sidecar.writeConfig(Kit.config(sidecar, discovery.address(), known, settings));
        sidecar.start();
        sidecar.awaitReady(30_000);
        List<Kit.Result> before = new CopyOnWriteArrayList<>();
        Kit.paced(sidecar.port, Kit.now() + 2000, 50, "stop-info", 1.0, before).join();
        long served = before.stream().filter(result -> result.status == 200).count();
        Kit.note("before: " + served + " of " + before.size() + " requests served");
        if (served < before.size() / 2) {
            throw new Kit.CannotRun("the sidecar does not serve");
        }
        sidecar.kill();
        Map<String, String> drain = new LinkedHashMap<>();
        Kit.EndpointServer draining = servers.get(0);
        drain.put(draining.host, Kit.entry(draining.host, draining.dial(), "hki-1", 0, "draining", 0));
        long version = discovery.change(drain);
        Kit.note("the agent has version " + version + ": " + draining.host + " drains");
        Kit.sleep(500);
        if (!Kit.calm()) {
            discovery.goDown();
        }
        double down = Kit.now();
        sidecar.start();
        // The first moment of the new process: what the agent has counts as told from here on.
        double told = Kit.now();
        if (!Kit.calm()) {
            Kit.background("return", () -> {
                try {
                    Kit.sleepUntil(down + OUTAGE_MILLIS);
                    discovery.comeBack();
                } catch (Exception e) {
                    Kit.note("discovery could not come back: " + e);
                }
            });
        }
        sidecar.awaitReady(30_000);
        List<Kit.Result> after = new CopyOnWriteArrayList<>();
        Kit.paced(sidecar.port, Math.max(Kit.now(), down + OUTAGE_MILLIS) + 2000, 50, "stop-info", 1.0, after)
                .join();
        for (Kit.EndpointServer server : servers) {
            Kit.note(server.host + " got " + server.countAfter(told) + " requests since the second start");
        }
        for (Kit.Arrival arrival : draining.arrivals) {
            if (arrival.message.firstByteAt > told) {
                Kit.note(String.format(
                        "%s got %s at %.1f, %.1f ms after the start",
                        draining.host,
                        arrival.id(),
                        arrival.message.firstByteAt,
                        arrival.message.firstByteAt - told));
            }
        }
        long answered = after.stream().filter(result -> result.status != 0).count();
        Kit.note("after: " + answered + " of " + after.size() + " requests answered");
        Kit.Arrival broken = draining.firstAfter(told + GRACE_MILLIS);
        return broken == null
                ? null
                : draining.countAfter(told + GRACE_MILLIS) + " requests were sent to " + draining.host
                        + ", which drains, the first " + Math.round(broken.message.firstByteAt - told)
                        + " ms after the start of the process";
    }
}
