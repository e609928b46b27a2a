import java.net.Socket;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * The sidecar is cut off from discovery for a while. Its open watch falls silent, new connections bring nothing, and a
 * guide server begins to drain meanwhile.
 */
final class CutOffCase {
    private static final double CUT_SECONDS = 5.4;
    private static final double DRAIN_AFTER_SECONDS = 1;
    /** STANDING: what a silent watch misses counts as told so long after it fell silent, whether or not it arrived. */
    private static final double TERM_SECONDS = 6;
    /** The grace and the 50 ms of PROTOCOL. */
    private static final double GRACE_SECONDS = 0.55;

    private static final double RUN_SECONDS = 10;
    private static final int USERS = 4;
    private static final String DRAINING = "s-00000003";

    private CutOffCase() {}

    public static void main(String[] arguments) throws Exception {
        Rig rig = new Rig(arguments[0]);
        Registry registry = new Registry(rig);
        ConcurrentLinkedQueue<Guide.Request> toDraining = new ConcurrentLinkedQueue<>();
        for (int i = 0; i < 6; i++) {
            Guide guide = new Guide(rig, "s-0000000" + i, (self, request, socket) -> {
                if (self.host.equals(DRAINING)) {
                    toDraining.add(request);
                }
                Thread.sleep(10);
                Guide.write(socket, Guide.ok(request.id));
            });
            registry.put(guide.host, guide.port(), i < 3 ? "hki-1" : "oulu-1", "gen2", i / 3, "ready", 0);
        }
        Settings settings = Settings.site();
        settings.sidecars = 3;
        String known = registry.whole();
        registry.put("s-00000009", Rig.freePort(Rig.STANDINS), "oulu-1", "gen2", 1, "draining", 0);
        Rig.Sidecar sidecar = rig.sidecar("n0", registry.port(), settings, known);
        sidecar.start(registry.port());
        if (!sidecar.awaitReady()) {
            rig.notRun("the sidecar is not ready");
        }
        for (int i = 0; i < USERS; i++) {
            Thread user = new Thread(() -> use(rig, sidecar));
            user.setDaemon(true);
            user.start();
        }
        Thread.sleep(5000);
        // Half way between two lines of the watch.
        registry.awaitPulse();
        Thread.sleep(1000);
        double cut = rig.seconds();
        double back = cut + CUT_SECONDS;
        ConcurrentLinkedQueue<Socket> unanswered = new ConcurrentLinkedQueue<>();
        if (rig.trouble) {
            rig.record("the sidecar is cut off from discovery for " + CUT_SECONDS + " s");
            registry.silenceWatches();
            // What was begun meanwhile never comes up: to the sidecar, nothing ever comes on it.
            registry.gate = (socket, line, number) -> {
                if (rig.seconds() >= back) {
                    return true;
                }
                unanswered.add(socket);
                rig.record("call " + number + " is lost");
                return false;
            };
        }
        Thread.sleep((long) (DRAIN_AFTER_SECONDS * 1000));
        registry.health(DRAINING, "draining");
        Thread.sleep((long) (RUN_SECONDS * 1000));
        double told = rig.trouble ? cut + TERM_SECONDS : registry.toldOf(DRAINING);
        int before = 0;
        int broken = 0;
        for (Guide.Request request : toDraining) {
            before += request.first < cut ? 1 : 0;
            if (request.first > told + GRACE_SECONDS) {
                broken++;
                rig.record(String.format("request %s was sent to %s, which drains, %.3f s after the watch fell silent"
                                + " and %.3f s after discovery could be reached again",
                        request.id, DRAINING, request.first - cut, request.first - back));
            }
        }
        String text = String.format("%d requests sent to a draining guide server over %.2f s after it counted as told",
                broken, GRACE_SECONDS);
        if (before == 0 || Double.isNaN(told)) {
            rig.notRun(text + ", " + before + " before");
        }
        rig.verdict(broken > 0, text);
    }

    private static void use(Rig rig, Rig.Sidecar sidecar) {
        while (true) {
            try (Client client = new Client(sidecar.port)) {
                while (true) {
                    String id = Client.newId();
                    rig.ask(client, id, Client.get(id, "stop-info", 1.1), 5000);
                    Thread.sleep(20);
                }
            } catch (Exception e) {
                rig.record("client: " + e);
            }
        }
    }
}
