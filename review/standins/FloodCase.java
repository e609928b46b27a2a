import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Usual clients send long requests, each whole at once, while bad clients send at full speed. Every request of a usual
 * client is owed its final answer half a second after its time at the latest.
 */
final class FloodCase {
    private static final int USUAL = 10;
    private static final int BAD = 300;
    private static final int BODY_BYTES = 60_000;
    /** Of code-redeem, whose deadline is 2 s: a try is given up after 50 to 60 % of it. */
    private static final double TIMEOUT_SECONDS = 1.1;
    /** Half a second, by STANDING, and the 50 ms by which PROTOCOL makes every time limit longer. */
    private static final double LATE_SECONDS = 0.55;

    private static final double RUN_SECONDS = 20;
    private static final int HUNDREDS = 300;

    private FloodCase() {}

    public static void main(String[] arguments) throws Exception {
        Rig rig = new Rig(arguments[0]);
        Registry registry = new Registry(rig);
        AtomicLong run = new AtomicLong();
        for (int i = 0; i < 10; i++) {
            Guide guide = new Guide(rig, "s-0000000" + i, (self, request, socket) -> {
                run.incrementAndGet();
                Thread.sleep(30);
                Guide.write(socket, Guide.ok(request.id));
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
        Thread.sleep(2000);
        AtomicLong badAnswered = new AtomicLong();
        if (rig.trouble) {
            byte[][] kinds = {badBytes(0), badBytes(1), badBytes(2)};
            for (int i = 0; i < BAD; i++) {
                byte[] bytes = kinds[i % 3];
                daemon(() -> flood(sidecar.port, bytes, badAnswered));
            }
        }
        Map<String, Integer> counts = new TreeMap<>();
        double end = rig.seconds() + RUN_SECONDS;
        List<Thread> usual = new ArrayList<>();
        for (int i = 0; i < USUAL; i++) {
            usual.add(daemon(() -> use(rig, sidecar.port, end, counts)));
        }
        for (Thread thread : usual) {
            thread.join();
        }
        rig.record("guide servers ran " + run + " requests; bad clients got " + badAnswered + " errors");
        rig.record("answers to usual clients: " + counts);
        if (!sidecar.alive()) {
            rig.crashed();
        }
        int lost = counts.getOrDefault("LOST", 0);
        int answered = counts.getOrDefault("200", 0);
        if (lost == 0 && answered == 0) {
            rig.notRun("nothing was served");
        }
        rig.verdict(lost > 0, counts.toString());
    }

    private static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Hundreds of requests at once, a head that never ends, or a body of 60 MB. */
    private static byte[] badBytes(int kind) {
        String request = Client.get("bad", "stop-info", 1);
        String text = switch (kind) {
            case 0 -> request.repeat(HUNDREDS);
            case 1 -> "GET /api HTTP/1.1\r\nHost: origin.svc\r\n" + "X: y\r\n".repeat(20_000);
            default -> "POST /api HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: bad\r\nRequest-Class: listen-log\r\n"
                    + "Idempotency-Key: k\r\nTransfer-Encoding: chunked\r\n\r\n" + ("3e8\r\n" + "y".repeat(1000) + "\r\n").repeat(60_000);
        };
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Sends at full speed, reads the error, and sends the same again. */
    private static void flood(int port, byte[] bytes, AtomicLong answered) {
        while (true) {
            try (Client client = new Client(port)) {
                OutputStream output = client.socket.getOutputStream();
                output.write(bytes);
                client.answer(6000);
                answered.incrementAndGet();
            } catch (Exception e) {
                // Closed by the sidecar, which is an answer too.
            }
        }
    }

    private static void use(Rig rig, int port, double end, Map<String, Integer> counts) {
        Client client = null;
        while (rig.seconds() < end) {
            String id = Client.newId();
            String request = Client.post(id, "code-redeem", TIMEOUT_SECONDS, Client.newId(), "k".repeat(BODY_BYTES));
            String result;
            double written = Double.NaN;
            try {
                if (client == null) {
                    client = new Client(port);
                }
                double begun = rig.seconds();
                client.send(request);
                written = rig.seconds();
                Client.Answer answer = client.answer(8000);
                double took = rig.seconds() - written;
                boolean lost = took > TIMEOUT_SECONDS + LATE_SECONDS
                        || answer.status == 200 && !answer.text().equals(Guide.bodyFor(id));
                rig.record(String.format("request %s written in %.3f s, answered %d after %.3f s%s",
                        id, written - begun, answer.status, took, lost ? ": LOST" : ""));
                result = lost ? "LOST" : Integer.toString(answer.status);
                if (answer.close) {
                    client.close();
                    client = null;
                }
            } catch (Exception e) {
                // A connection that ends before the request is written whole has taken nothing.
                result = Double.isNaN(written) ? "not taken" : "LOST";
                rig.record("request " + id + ": " + e + ", " + result);
                client = null;
            }
            synchronized (counts) {
                counts.merge(result, 1, Integer::sum);
            }
            pause();
        }
    }

    private static void pause() {
        try {
            Thread.sleep(200);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
