package loadbalancer.simulator;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.io.PipedInputStream;
import java.io.PipedOutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

/**
 * Stands in for the simulator: drives an adapter with seeded random events that follow from its replies, and keeps
 * what either side sent. Used to record a transcript only; tests replay the recorded input.
 */
final class SimulatorDriver {
    private static final int PIPE_BYTES = 1 << 20;
    private static final int MAX_EVENTS = 12;
    private static final int ENDPOINTS = 14;
    private static final List<String> DISPOSITIONS =
            List.of("done", "err", "busy", "etimedout", "econnrefused", "econnreset", "ecanceled", "skipped");
    private static final List<String> CLASSES = List.of("get", "put", "pay");

    /** An attempt that has had no answer yet. */
    private record Attempt(int sidecar, long request, int number, String endpoint, double sentAtMillis) {}

    /** A wake-up that an instance asked for. */
    private record Wake(int sidecar, double atMillis) {}

    /** Both sides of a completed conversation. */
    record Transcript(String input, String output) {}

    private final Random random;
    private final boolean polled;
    private final String reporting;
    private final StringBuilder input = new StringBuilder();
    private final StringBuilder output = new StringBuilder();
    private final List<Attempt> attempts = new ArrayList<>();
    private final List<Wake> wakes = new ArrayList<>();
    private final int[] attemptsOf = new int[100_000];
    private double now = 1000;
    private long requests;

    private SimulatorDriver(long seed) {
        random = new Random(seed);
        polled = seed % 2 == 0;
        reporting = List.of("off", "inline", "on_probe").get((int) (seed % 3));
    }

    /** Plays a conversation of this many batches. */
    static Transcript play(long seed, int batches) throws Exception {
        SimulatorDriver driver = new SimulatorDriver(seed);
        PipedInputStream toAdapter = new PipedInputStream(PIPE_BYTES);
        PipedInputStream fromAdapter = new PipedInputStream(PIPE_BYTES);
        PipedOutputStream replies = new PipedOutputStream(fromAdapter);
        try (var events = new BufferedWriter(
                        new OutputStreamWriter(new PipedOutputStream(toAdapter), StandardCharsets.UTF_8));
                var reader = new BufferedReader(new InputStreamReader(fromAdapter, StandardCharsets.UTF_8))) {
            CompletableFuture<Void> adapter = CompletableFuture.runAsync(() -> {
                try {
                    new SimulatorConnection(toAdapter, replies).run();
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            });
            for (int batch = 1; batch <= batches; batch++) {
                driver.exchangeBatch(batch, events, reader);
            }
            events.close();
            adapter.get();
        }
        return new Transcript(driver.input.toString(), driver.output.toString());
    }

    private void exchangeBatch(int number, BufferedWriter events, BufferedReader replies) throws IOException {
        now += random.nextInt(30) == 0 ? random.nextInt(1500) : 1 + random.nextInt(20);
        StringBuilder batch = new StringBuilder("tick ")
                .append(number(now))
                .append(' ')
                .append(number)
                .append('\n');
        if (number == 1) {
            appendStart(batch, 0);
            appendStart(batch, 1);
        }
        appendDueWakes(batch);
        int count = random.nextInt(MAX_EVENTS);
        for (int i = 0; i < count; i++) {
            appendEvent(batch, random.nextInt(200));
        }
        batch.append("eob\n");
        input.append(batch);
        events.write(batch.toString());
        events.flush();
        for (String line = replies.readLine(); ; line = replies.readLine()) {
            output.append(line).append('\n');
            if (line.startsWith("next ")) {
                return;
            }
            applyAction(line.split(" "));
        }
    }

    private void appendStart(StringBuilder batch, int sidecar) {
        batch.append("up ")
                .append(sidecar)
                .append(' ')
                .append(random.nextInt(1_000_000))
                .append(' ');
        batch.append("classes.count=3");
        List<String> effects = List.of("idempotent", "at_most_once", "deduplicated");
        for (int i = 0; i < CLASSES.size(); i++) {
            String key = " classes." + i + ".";
            batch.append(key).append("name=").append(CLASSES.get(i));
            batch.append(key).append("effect=").append(effects.get(i));
            batch.append(key).append("group=zone").append(key).append("window=900");
            batch.append(key).append("slo=").append(300 + 100 * i).append(key).append("deadline=1500.0");
            batch.append(key)
                    .append("value=")
                    .append(3 - i)
                    .append(key)
                    .append("late_worth=0.")
                    .append(i);
        }
        batch.append(" tenants.count=2 tenants.0.name=a tenants.0.share=0.6 tenants.0.quota_per_s=20");
        batch.append(" tenants.1.name=b tenants.1.share=0.4 tenants.1.quota_per_s=10 over_share_worth=0.2");
        batch.append(" discovery=")
                .append(polled ? "ask" : "push")
                .append(" peers_total=2 ordinal=")
                .append(sidecar);
        batch.append(" reporting.how=").append(reporting).append(" costs.probe=0.002");
        batch.append(" limits.attempts_cap=3 limits.may_duplicate=true limits.cancel=true limits.probes=true");
        batch.append(" limits.peers=true limits.retry_after=true limits.max_retry_after=1000.0");
        batch.append(" obligations.drain_grace=1000.0 obligations.fall_multiple=3.0 obligations.overload_for=1500.0");
        batch.append(" obligations.cold_share=0.2 obligations.cold=9000.0 obligations.ask_within=8000\n");
        appendList(batch, sidecar, "F");
    }

    private void appendDueWakes(StringBuilder batch) {
        for (Wake wake : List.copyOf(wakes)) {
            if (wake.atMillis <= now) {
                wakes.remove(wake);
                batch.append("deadline_hit ").append(wake.sidecar).append(" period\n");
            }
        }
    }

    private void appendEvent(StringBuilder batch, int kind) {
        int sidecar = random.nextInt(2);
        if (kind < 90) {
            appendRequest(batch, sidecar);
        } else if (kind < 172) {
            appendOutcome(batch);
        } else if (kind < 180) {
            appendList(batch, sidecar, List.of("D", "F", "C").get(random.nextInt(3)));
        } else if (kind < 182) {
            batch.append("membership ").append(sidecar).append(" - X 0\n");
        } else if (kind < 186) {
            batch.append("cancelled_by_client ").append(sidecar).append(' ');
            batch.append(Math.max(0, requests - random.nextInt(40))).append('\n');
        } else if (kind < 192) {
            batch.append("probed ").append(sidecar).append(" s").append(random.nextInt(ENDPOINTS));
            batch.append(" done 2.5 ").append(telemetry()).append('\n');
        } else if (kind < 194) {
            batch.append("memo ").append(sidecar).append(" 1 aGVsbG8=\n");
        } else if (kind < 197 && !attempts.isEmpty()) {
            Attempt flowing = attempts.get(random.nextInt(attempts.size()));
            batch.append("flowing ")
                    .append(flowing.sidecar)
                    .append(' ')
                    .append(flowing.request)
                    .append(' ');
            batch.append(flowing.number).append(' ').append(flowing.endpoint).append(" 5.0\n");
        } else if (kind == 199) {
            batch.append("crash_now ").append(sidecar).append('\n');
            attempts.removeIf(attempt -> attempt.sidecar == sidecar);
            wakes.removeIf(wake -> wake.sidecar == sidecar);
            appendStart(batch, sidecar);
        }
    }

    private void appendRequest(StringBuilder batch, int sidecar) {
        batch.append("order ").append(sidecar).append(' ').append(requests++).append(' ');
        batch.append(CLASSES.get(random.nextInt(CLASSES.size()))).append(' ');
        batch.append(List.of("a", "b", "-", "0").get(random.nextInt(4))).append(" stop-");
        batch.append(random.nextInt(9)).append(' ').append(number(50 + random.nextInt(1500)));
        batch.append(random.nextBoolean() ? " - 0 0\n" : " 12.5 1 -\n");
    }

    private void appendOutcome(StringBuilder batch) {
        if (attempts.isEmpty()) {
            return;
        }
        Attempt ended = attempts.remove(random.nextInt(attempts.size()));
        boolean successful = random.nextInt(3) > 0;
        String disposition = successful ? "done" : DISPOSITIONS.get(random.nextInt(DISPOSITIONS.size()));
        batch.append("answer ")
                .append(ended.sidecar)
                .append(' ')
                .append(ended.request)
                .append(' ');
        batch.append(ended.number)
                .append(' ')
                .append(ended.endpoint)
                .append(' ')
                .append(disposition)
                .append(' ');
        batch.append(number(now - ended.sentAtMillis)).append(disposition.equals("done") ? " 1 " : " 0 ");
        batch.append(telemetry()).append('\n');
    }

    private String telemetry() {
        return switch (random.nextInt(3)) {
            case 0 -> "-";
            case 1 -> "util:0." + random.nextInt(1000) + ",qps:" + random.nextInt(200) + ",eps:0.5,new:1";
            default -> "inflight:" + random.nextInt(9) + ",queue:" + random.nextInt(4) + ",latency_ms:12.25";
        };
    }

    private void appendList(StringBuilder batch, int sidecar, String scope) {
        List<String> entries = new ArrayList<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            if (!scope.equals("D") || random.nextInt(5) == 0) {
                String mode = random.nextInt(5) == 0 ? List.of("L", "D").get(random.nextInt(2)) : "U";
                String start = random.nextInt(4) == 0 ? number(now - random.nextInt(5000)) : "-";
                entries.add("entry " + (1 + i % 2 * 0.5) + ' ' + mode + " kind z" + i % 3 + ' ' + i / 4 + " s" + i + ' '
                        + start + '\n');
            }
        }
        int buffer = random.nextInt(16);
        batch.append("catalog ")
                .append(buffer)
                .append(' ')
                .append(entries.size())
                .append('\n');
        entries.forEach(batch::append);
        batch.append("membership ")
                .append(sidecar)
                .append(" 3 ")
                .append(scope)
                .append(' ')
                .append(buffer);
        batch.append('\n');
    }

    private void applyAction(String[] action) {
        int sidecar = Integer.parseInt(action[1]);
        switch (action[0]) {
            case "forward" -> {
                int request = Integer.parseInt(action[2]);
                attempts.add(new Attempt(sidecar, request, attemptsOf[request]++, action[3], now));
            }
            case "wake_me" -> wakes.add(new Wake(sidecar, Double.parseDouble(action[3])));
            default -> {}
        }
    }

    private static String number(double value) {
        return String.format(Locale.ROOT, "%.3f", value);
    }
}
