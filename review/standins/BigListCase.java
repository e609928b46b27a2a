import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;

/** A fleet of 3,200 guide servers, whose whole list comes indented. A guide server begins to drain. */
final class BigListCase {
    private static final int SERVERS = 3200;
    private static final int INDENT = 8;
    /** The grace and the 50 ms of PROTOCOL. */
    private static final double GRACE_SECONDS = 0.55;

    private BigListCase() {}

    private record Sent(String host, String id, double first) {}

    public static void main(String[] arguments) throws Exception {
        Rig rig = new Rig(arguments[0]);
        Registry registry = new Registry(rig);
        ConcurrentLinkedQueue<Sent> sent = new ConcurrentLinkedQueue<>();
        GuideFleet fleet = new GuideFleet(rig, SERVERS, (self, request, socket) -> {
            sent.add(new Sent(self.host, request.id, request.first));
            Thread.sleep(10);
            Guide.write(socket, Guide.ok(request.id));
        });
        for (int i = 0; i < SERVERS; i++) {
            Guide guide = fleet.guides().get(i);
            registry.put(guide.host, guide.port(), i % 2 == 0 ? "hki-1" : "oulu-1", i % 4 == 0 ? "gen1" : "gen2", i / 8,
                    "ready", System.currentTimeMillis() - 3_600_000 - i);
        }
        Settings settings = Settings.site();
        settings.sidecars = 4;
        // The list as this sidecar last had it, of an old version: too many changes were missed since.
        String known = registry.whole().replaceFirst("\"seq\":[0-9]+", "\"seq\":17");
        registry.wholeBelow = 1000;
        if (rig.trouble) {
            registry.form = text -> indented(text, INDENT);
        }
        rig.record("the whole list has " + registry.form.apply(registry.whole()).length() + " bytes");
        Rig.Sidecar sidecar = rig.sidecar("n0", registry.port(), settings, known);
        sidecar.start(registry.port());
        if (!sidecar.awaitReady()) {
            rig.notRun("the sidecar is not ready");
        }
        int served = use(sidecar, rig, rig.seconds() + 5);
        Map<String, Integer> counts = new HashMap<>();
        sent.forEach(one -> counts.merge(one.host, 1, Integer::sum));
        String busiest = counts.entrySet().stream().max(Map.Entry.comparingByValue()).orElseThrow().getKey();
        registry.health(busiest, "draining");
        double changed = rig.seconds();
        sent.clear();
        served += use(sidecar, rig, changed + 15);
        double told = registry.toldOf(busiest);
        int broken = 0;
        for (Sent one : sent) {
            if (one.host.equals(busiest) && one.first > told + GRACE_SECONDS) {
                broken++;
                rig.record(String.format("request %s was sent to %s %.3f s after the sidecar was told that it drains",
                        one.id, busiest, one.first - told));
            }
        }
        String text = String.format("%d requests sent to %s more than %.2f s after the sidecar was told; served %d",
                broken, busiest, GRACE_SECONDS, served);
        if (served == 0 || Double.isNaN(told)) {
            rig.notRun(text + ", told at " + told);
        }
        rig.verdict(broken > 0, text);
    }

    private static int use(Rig.Sidecar sidecar, Rig rig, double until) throws Exception {
        int served = 0;
        try (Client client = new Client(sidecar.port)) {
            while (rig.seconds() < until) {
                String id = Client.newId();
                served += rig.ask(client, id, Client.get(id, "stop-info", 1.1), 5000).status == 200 ? 1 : 0;
                Thread.sleep(20);
            }
        }
        return served;
    }

    private static String indented(String json, int width) {
        StringBuilder text = new StringBuilder();
        int depth = 0;
        boolean quoted = false;
        for (char character : json.toCharArray()) {
            quoted ^= character == '"';
            if (quoted) {
                text.append(character);
                continue;
            }
            switch (character) {
                case '{', '[' -> text.append(character).append('\n').append(" ".repeat(++depth * width));
                case '}', ']' -> text.append('\n').append(" ".repeat(--depth * width)).append(character);
                case ',' -> text.append(",\n").append(" ".repeat(depth * width));
                case ':' -> text.append(": ");
                default -> text.append(character);
            }
        }
        return text.toString();
    }
}
