package cobaltrack;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Plays a seeded random sequence of every kind of event to a policy and writes down each action with its time.
 *
 * <p>Settings, fleet and traffic are drawn from the seed too. Numbers are rounded to a thousandth, and words are this
 * class's own, so that neither the last bit of a result nor a renamed type changes the text.
 */
final class RandomPolicyRun implements Contract.Actions {
    private static final int EVENTS = 1500;
    private static final double ROUNDING = 1000;
    private static final int MAX_ENDPOINTS = 40;

    /** An attempt that has had no outcome yet. */
    private record Pending(Contract.Request request, int attempt, String endpoint, double sentAt) {}

    private final Random random;
    private final Contract.Settings settings;
    private final Contract.Events policy;
    private final StringBuilder text = new StringBuilder();
    private final List<Pending> pending = new ArrayList<>();
    private final List<Contract.Request> unanswered = new ArrayList<>();
    private final int[] attempts = new int[EVENTS];
    private final PriorityQueue<Double> wakes = new PriorityQueue<>();
    private final double[] startedAt = new double[MAX_ENDPOINTS];
    private final Contract.Standing[] status = new Contract.Standing[MAX_ENDPOINTS];
    private final int endpoints;
    private final int failuresInHundred;
    private double now = 100_000;

    private RandomPolicyRun(long seed) {
        random = new Random(seed);
        settings = randomSettings();
        endpoints = 3 + random.nextInt(MAX_ENDPOINTS - 3);
        failuresInHundred = random.nextInt(60);
        policy = new Decide(settings, seed, this);
    }

    /** All actions of the run with this seed, a line each. */
    static String play(long seed) {
        RandomPolicyRun run = new RandomPolicyRun(seed);
        run.playEvents();
        return run.text.toString();
    }

    private Contract.Settings randomSettings() {
        List<Contract.RequestClass> classes = new ArrayList<>();
        int count = 1 + random.nextInt(5);
        for (int i = 0; i < count; i++) {
            Contract.Effect idempotency = Contract.Effect.values()[random.nextInt(3)];
            Contract.Group scope = Contract.Group.values()[random.nextInt(3)];
            double objective = 100 + random.nextInt(900);
            classes.add(new Contract.RequestClass(
                    "class" + i,
                    1 + random.nextInt(9),
                    random.nextInt(2) * 0.3,
                    objective,
                    objective + random.nextInt(2000),
                    idempotency,
                    scope,
                    300 + random.nextInt(3000),
                    random.nextInt(4) == 0));
        }
        List<Contract.Tenant> tenants = new ArrayList<>();
        int tenantCount = random.nextInt(4);
        for (int i = 0; i < tenantCount; i++) {
            tenants.add(new Contract.Tenant("tenant" + i, 1.0 / tenantCount, 40));
        }
        int sidecars = 1 + random.nextInt(100);
        return new Contract.Settings(
                classes,
                tenants,
                tenantCount == 0 ? 1 : 0.2,
                new Contract.Limits(
                        1 + random.nextInt(5),
                        random.nextBoolean(),
                        random.nextBoolean(),
                        random.nextBoolean(),
                        random.nextBoolean(),
                        random.nextBoolean(),
                        1000,
                        0.002),
                new Contract.Obligations(1000, 3, 1000 + random.nextInt(2000), 0.2, 5000 + random.nextInt(20000), 8000),
                Contract.Reporting.values()[random.nextInt(3)],
                random.nextBoolean(),
                sidecars,
                random.nextInt(sidecars));
    }

    private void playEvents() {
        policy.start(now);
        list(random.nextBoolean() ? Contract.ListKind.STALE : Contract.ListKind.FULL);
        for (int i = 0; i < EVENTS; i++) {
            now += random.nextInt(25) == 0 ? random.nextInt(2500) : random.nextInt(15);
            wakeUpTo(now);
            event(i, random.nextInt(1000));
        }
        wakeUpTo(now + 5000);
    }

    private void wakeUpTo(double until) {
        double resume = now;
        while (!wakes.isEmpty() && wakes.peek() <= until) {
            now = wakes.poll();
            policy.wake(now);
        }
        now = Math.max(resume, until);
    }

    private void event(int number, int kind) {
        if (kind < 450) {
            request(number);
        } else if (kind < 870) {
            outcome();
        } else if (kind < 900) {
            abandon();
        } else if (kind < 915) {
            stream();
        } else if (kind < 945) {
            probed();
        } else if (kind < 950) {
            policy.message(now, 2, new byte[random.nextInt(9)]);
        } else {
            listEvent(kind);
        }
    }

    private void request(int number) {
        int tenants = settings.tenants().size();
        Contract.Request request = new Contract.Request(
                number,
                random.nextInt(settings.classes().size()),
                tenants == 0 ? -1 : random.nextInt(tenants + 1) - 1,
                50 + random.nextInt(2000),
                random.nextInt(10) == 0);
        unanswered.add(request);
        policy.request(now, request);
        if (random.nextInt(50) == 0) {
            // The same request a second time, which counts once.
            policy.request(now, request);
        }
    }

    private void outcome() {
        if (pending.isEmpty()) {
            return;
        }
        Pending ended = pending.remove(Math.min(random.nextInt(pending.size()), random.nextInt(pending.size())));
        Contract.Outcome[] all = Contract.Outcome.values();
        boolean failed = random.nextInt(100) < failuresInHundred;
        Contract.Outcome outcome = failed ? all[random.nextInt(all.length)] : Contract.Outcome.SERVED;
        boolean answered = !unanswered.contains(ended.request);
        boolean finished = outcome == Contract.Outcome.SERVED || answered;
        if (finished) {
            unanswered.remove(ended.request);
        }
        double took = now - ended.sentAt;
        policy.outcome(now, ended.request, ended.attempt, outcome, took, finished, report());
        if (random.nextInt(40) == 0) {
            // Told twice, and for attempts that never were: all of it is ignored.
            policy.outcome(now, ended.request, ended.attempt, outcome, took, true, null);
            policy.outcome(now, ended.request, ended.attempt + 9, outcome, took, true, null);
        }
    }

    private Contract.Report report() {
        return switch (random.nextInt(4)) {
            case 0 -> null;
            case 1 -> new Contract.Report(
                    random.nextInt(9), 0, random.nextDouble() * 1.7, 5, random.nextInt(300), random.nextInt(3));
            case 2 -> new Contract.Report(
                    Double.NaN, Double.NaN, random.nextDouble(), Double.NaN, 1 + random.nextInt(90), Double.NaN);
            default -> new Contract.Report(
                    random.nextInt(9) - 1, Double.NaN, Double.NaN, Double.NaN, Double.POSITIVE_INFINITY, Double.NaN);
        };
    }

    private void abandon() {
        if (!unanswered.isEmpty()) {
            policy.abandoned(now, unanswered.remove(random.nextInt(unanswered.size())));
        }
    }

    private void stream() {
        if (!pending.isEmpty()) {
            Pending streaming = pending.get(random.nextInt(pending.size()));
            unanswered.remove(streaming.request);
            policy.streaming(now, streaming.request, streaming.attempt);
        }
    }

    private void probed() {
        Contract.Outcome[] all = Contract.Outcome.values();
        String endpoint = "s" + random.nextInt(endpoints + 2);
        policy.probed(now, endpoint, all[random.nextInt(all.length)], random.nextInt(50), report());
    }

    private void listEvent(int kind) {
        if (kind < 970) {
            list(Contract.ListKind.CHANGES);
        } else if (kind < 978) {
            list(Contract.ListKind.FULL);
        } else if (kind < 980) {
            list(Contract.ListKind.STALE);
        } else if (kind < 990) {
            policy.servers(now, Contract.ListKind.FAILED, List.of());
        } else if (kind < 995) {
            policy.servers(now, Contract.ListKind.SILENT, List.of());
        } else {
            policy.servers(now, Contract.ListKind.MOVED, List.of());
        }
    }

    private void list(Contract.ListKind kind) {
        List<Contract.Server> entries = new ArrayList<>();
        for (int i = 0; i < endpoints; i++) {
            if (kind != Contract.ListKind.CHANGES || random.nextInt(6) == 0) {
                Contract.Standing[] all = Contract.Standing.values();
                status[i] = random.nextInt(4) == 0 ? all[random.nextInt(all.length)] : Contract.Standing.UP;
                startedAt[i] = random.nextInt(5) == 0 ? now - random.nextInt(9000) : startedAt[i];
                entries.add(new Contract.Server(
                        "s" + i, status[i], 0.25 + i % 4 * 0.25, "zone" + i % 3, i / 5, startedAt[i]));
            }
        }
        policy.servers(now, kind, entries);
    }

    private void line(String action, Object... details) {
        text.append(Math.round(now * ROUNDING)).append(' ').append(action);
        for (Object detail : details) {
            text.append(' ').append(detail instanceof Double number ? Math.round(number * ROUNDING) : detail);
        }
        text.append('\n');
    }

    @Override
    public void send(Contract.Request request, String server, double within) {
        pending.add(new Pending(request, attempts[(int) request.id]++, server, now));
        line("forward", request.id, server, within);
    }

    @Override
    public void cancel(Contract.Request request, int attempt) {
        line("cancel", request.id, attempt);
    }

    @Override
    public void refuse(Contract.Request request, double retryAfter) {
        unanswered.remove(request);
        line("reject", request.id, retryAfter);
    }

    @Override
    public void fail(Contract.Request request) {
        unanswered.remove(request);
        line("fail", request.id);
    }

    @Override
    public void probe(String server) {
        line("probe", server);
    }

    @Override
    public void watchServers() {
        line("watch");
    }

    @Override
    public void tellPeers(byte[] message) {
        line("broadcast", message.length);
    }

    @Override
    public void wake(double at) {
        wakes.add(at);
        line("wake", at);
    }

    @Override
    public void log(String message) {
        line("log");
    }
}
