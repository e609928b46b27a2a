import java.util.concurrent.atomic.AtomicLong;

/** One answer in ten states a length that does not fit: it is shorter than the body that comes with it. */
final class ShortLengthCase {
    private static final int REQUESTS = 400;
    private static final int SPOILT_ONE_IN = 10;
    private static final int MISSING_BYTES = 20;

    private ShortLengthCase() {}

    public static void main(String[] arguments) throws Exception {
        Rig rig = new Rig(arguments[0]);
        Registry registry = new Registry(rig);
        AtomicLong number = new AtomicLong();
        for (int i = 0; i < 10; i++) {
            Guide guide = new Guide(rig, "s-0000000" + i, (self, request, socket) -> {
                Thread.sleep(10);
                if (rig.trouble && number.incrementAndGet() % SPOILT_ONE_IN == 0) {
                    String body = Guide.bodyFor(request.id);
                    rig.record(self.host + " spoils the answer to " + request.id);
                    Guide.write(socket, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: "
                            + (body.length() - MISSING_BYTES) + "\r\n\r\n" + body);
                    // The connection stays open and is of no further use.
                    socket.getInputStream().readAllBytes();
                } else {
                    Guide.write(socket, Guide.ok(request.id));
                }
            });
            registry.put(guide.host, guide.port(), i < 5 ? "hki-1" : "oulu-1", "gen2", i / 5, "ready", 0);
        }
        Settings settings = Settings.site();
        settings.sidecars = 3;
        Rig.Sidecar sidecar = rig.sidecar("n0", registry.port(), settings, registry.whole());
        sidecar.start(registry.port());
        if (!sidecar.awaitReady()) {
            rig.notRun("the sidecar is not ready");
        }
        Thread.sleep(1000);
        int whole = 0;
        int wrong = 0;
        int other = 0;
        Client client = new Client(sidecar.port);
        for (int i = 0; i < REQUESTS; i++) {
            String id = Client.newId();
            String request = i % 2 == 0
                    ? Client.get(id, "stop-info", 1.1)
                    : Client.post(id, "code-redeem", 1.1, Client.newId(), "code 4711");
            Client.Answer answer = rig.ask(client, id, request, 5000);
            if (answer.status != 200) {
                other++;
            } else if (answer.text().equals(Guide.bodyFor(id))) {
                whole++;
            } else {
                wrong++;
                rig.record("request " + id + " SERVED WITH ANOTHER BODY: 200, '" + answer.text() + "' instead of '"
                        + Guide.bodyFor(id) + "'");
            }
            if (answer.close) {
                client.close();
                client = new Client(sidecar.port);
            }
            Thread.sleep(20);
        }
        String counts = whole + " served as made, " + wrong + " with another body, " + other + " refused or failed";
        rig.record(counts);
        if (whole == 0) {
            rig.notRun(counts);
        }
        rig.verdict(wrong > 0, counts);
    }
}
