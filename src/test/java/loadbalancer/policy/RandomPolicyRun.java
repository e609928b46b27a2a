package loadbalancer.policy;

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
final class RandomPolicyRun implements PolicyActions {
    private static final int EVENTS = 1500;
    private static final double ROUNDING = 1000;
    private static final int MAX_ENDPOINTS = 40;

    /** An attempt that has had no outcome yet. */
    private record Pending(PolicyRequest request, int attempt, String endpoint, double sentAt) {}

    private final Random random;
    private final PolicySettings settings;
    private final BalancingPolicy policy;
    private final StringBuilder text = new StringBuilder();
    private final List<Pending> pending = new ArrayList<>();
    private final List<PolicyRequest> unanswered = new ArrayList<>();
    private final int[] attempts = new int[EVENTS];
    private final PriorityQueue<Double> wakes = new PriorityQueue<>();
    private final double[] startedAt = new double[MAX_ENDPOINTS];
    private final EndpointStatus[] status = new EndpointStatus[MAX_ENDPOINTS];
    private final int endpoints;
    private final int failuresInHundred;
    private double now = 100_000;

    private RandomPolicyRun(long seed) {
        random = new Random(seed);
        settings = randomSettings();
        endpoints = 3 + random.nextInt(MAX_ENDPOINTS - 3);
        failuresInHundred = random.nextInt(60);
        policy = new LossThrottlingPolicy(settings, seed, this);
    }

    /** All actions of the run with this seed, a line each. */
    static String play(long seed) {
        RandomPolicyRun run = new RandomPolicyRun(seed);
        run.playEvents();
        return run.text.toString();
    }

    private PolicySettings randomSettings() {
        List<RequestClass> classes = new ArrayList<>();
        int count = 1 + random.nextInt(5);
        for (int i = 0; i < count; i++) {
            Idempotency idempotency = Idempotency.values()[random.nextInt(3)];
            DeduplicationScope scope = DeduplicationScope.values()[random.nextInt(3)];
            double objectiveMillis = 100 + random.nextInt(900);
            classes.add(new RequestClass(
                    "class" + i,
                    1 + random.nextInt(9),
                    random.nextInt(2) * 0.3,
                    objectiveMillis,
                    objectiveMillis + random.nextInt(2000),
                    idempotency,
                    scope,
                    300 + random.nextInt(3000),
                    random.nextInt(4) == 0));
        }
        List<Tenant> tenants = new ArrayList<>();
        int tenantCount = random.nextInt(4);
        for (int i = 0; i < tenantCount; i++) {
            tenants.add(new Tenant("tenant" + i, 1.0 / tenantCount, 40));
        }
        int sidecars = 1 + random.nextInt(100);
        return new PolicySettings(
                classes,
                tenants,
                tenantCount == 0 ? 1 : 0.2,
                randomLimits(),
                new OperatorRules(1000, 3, 1000 + random.nextInt(2000), 0.2, 5000 + random.nextInt(20000), 8000),
                LoadReporting.values()[random.nextInt(3)],
                random.nextBoolean(),
                sidecars,
                random.nextInt(sidecars));
    }

    private PolicyLimits randomLimits() {
        return new PolicyLimits(
                1 + random.nextInt(5),
                random.nextBoolean(),
                random.nextBoolean(),
                random.nextBoolean(),
                random.nextBoolean(),
                random.nextBoolean(),
                1000,
                0.002);
    }

    private void playEvents() {
        policy.start(now);
        sendList(random.nextBoolean() ? WatchEvent.STALE_SNAPSHOT : WatchEvent.SNAPSHOT);
        for (int i = 0; i < EVENTS; i++) {
            now += random.nextInt(25) == 0 ? random.nextInt(2500) : random.nextInt(15);
            wakeUpTo(now);
            playEvent(i, random.nextInt(1000));
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

    private void playEvent(int number, int kind) {
        if (kind < 450) {
            arrive(number);
        } else if (kind < 870) {
            endAttempt();
        } else if (kind < 900) {
            disconnectClient();
        } else if (kind < 915) {
            startStreaming();
        } else if (kind < 945) {
            endProbe();
        } else if (kind < 950) {
            policy.messageReceived(now, 2, new byte[random.nextInt(9)]);
        } else {
            sendWatchEvent(kind);
        }
    }

    private void arrive(int number) {
        int tenants = settings.tenants().size();
        PolicyRequest request = new PolicyRequest(
                number,
                random.nextInt(settings.classes().size()),
                tenants == 0 ? -1 : random.nextInt(tenants + 1) - 1,
                50 + random.nextInt(2000),
                random.nextInt(10) == 0);
        unanswered.add(request);
        policy.requestArrived(now, request);
        if (random.nextInt(50) == 0) {
            // The same request a second time, which counts once.
            policy.requestArrived(now, request);
        }
    }

    private void endAttempt() {
        if (pending.isEmpty()) {
            return;
        }
        Pending ended = pending.remove(Math.min(random.nextInt(pending.size()), random.nextInt(pending.size())));
        AttemptOutcome[] all = AttemptOutcome.values();
        boolean failed = random.nextInt(100) < failuresInHundred;
        AttemptOutcome outcome = failed ? all[random.nextInt(all.length)] : AttemptOutcome.SUCCESS;
        boolean answered = !unanswered.contains(ended.request);
        boolean finished = outcome == AttemptOutcome.SUCCESS || answered;
        if (finished) {
            unanswered.remove(ended.request);
        }
        double durationMillis = now - ended.sentAt;
        policy.attemptEnded(now, ended.request, ended.attempt, outcome, durationMillis, finished, report());
        if (random.nextInt(40) == 0) {
            // A duplicate, and the end of an attempt that never was: the policy ignores both.
            policy.attemptEnded(now, ended.request, ended.attempt, outcome, durationMillis, true, null);
            policy.attemptEnded(now, ended.request, ended.attempt + 9, outcome, durationMillis, true, null);
        }
    }

    private LoadReport report() {
        return switch (random.nextInt(4)) {
            case 0 -> null;
            case 1 -> new LoadReport(
                    random.nextInt(9), 0, random.nextDouble() * 1.7, 5, random.nextInt(300), random.nextInt(3));
            case 2 -> new LoadReport(
                    Double.NaN, Double.NaN, random.nextDouble(), Double.NaN, 1 + random.nextInt(90), Double.NaN);
            default -> new LoadReport(
                    random.nextInt(9) - 1, Double.NaN, Double.NaN, Double.NaN, Double.POSITIVE_INFINITY, Double.NaN);
        };
    }

    private void disconnectClient() {
        if (!unanswered.isEmpty()) {
            policy.clientDisconnected(now, unanswered.remove(random.nextInt(unanswered.size())));
        }
    }

    private void startStreaming() {
        if (!pending.isEmpty()) {
            Pending streaming = pending.get(random.nextInt(pending.size()));
            unanswered.remove(streaming.request);
            policy.responseStreaming(now, streaming.request, streaming.attempt);
        }
    }

    private void endProbe() {
        AttemptOutcome[] all = AttemptOutcome.values();
        String endpoint = "s" + random.nextInt(endpoints + 2);
        policy.probeEnded(now, endpoint, all[random.nextInt(all.length)], random.nextInt(50), report());
    }

    private void sendWatchEvent(int kind) {
        if (kind < 970) {
            sendList(WatchEvent.DELTA);
        } else if (kind < 978) {
            sendList(WatchEvent.SNAPSHOT);
        } else if (kind < 980) {
            sendList(WatchEvent.STALE_SNAPSHOT);
        } else if (kind < 990) {
            policy.endpointsChanged(now, WatchEvent.FAILED, List.of());
        } else if (kind < 995) {
            policy.endpointsChanged(now, WatchEvent.IDLE_TIMEOUT, List.of());
        } else {
            policy.endpointsChanged(now, WatchEvent.MOVED, List.of());
        }
    }

    private void sendList(WatchEvent kind) {
        List<Endpoint> entries = new ArrayList<>();
        for (int i = 0; i < endpoints; i++) {
            if (kind != WatchEvent.DELTA || random.nextInt(6) == 0) {
                EndpointStatus[] all = EndpointStatus.values();
                status[i] = random.nextInt(4) == 0 ? all[random.nextInt(all.length)] : EndpointStatus.READY;
                startedAt[i] = random.nextInt(5) == 0 ? now - random.nextInt(9000) : startedAt[i];
                entries.add(new Endpoint("s" + i, status[i], 0.25 + i % 4 * 0.25, "zone" + i % 3, i / 5, startedAt[i]));
            }
        }
        policy.endpointsChanged(now, kind, entries);
    }

    private void writeLine(String action, Object... details) {
        text.append(Math.round(now * ROUNDING)).append(' ').append(action);
        for (Object detail : details) {
            text.append(' ').append(detail instanceof Double number ? Math.round(number * ROUNDING) : detail);
        }
        text.append('\n');
    }

    @Override
    public void forward(PolicyRequest request, String endpoint, double timeoutMillis) {
        pending.add(new Pending(request, attempts[(int) request.id()]++, endpoint, now));
        writeLine("forward", request.id(), endpoint, timeoutMillis);
    }

    @Override
    public void cancelAttempt(PolicyRequest request, int attempt) {
        writeLine("cancel", request.id(), attempt);
    }

    @Override
    public void reject(PolicyRequest request, double retryAfterMillis) {
        unanswered.remove(request);
        writeLine("reject", request.id(), retryAfterMillis);
    }

    @Override
    public void fail(PolicyRequest request) {
        unanswered.remove(request);
        writeLine("fail", request.id());
    }

    @Override
    public void probe(String endpoint) {
        writeLine("probe", endpoint);
    }

    @Override
    public void watchEndpoints() {
        writeLine("watch");
    }

    @Override
    public void broadcast(byte[] message) {
        writeLine("broadcast", message.length);
    }

    @Override
    public void scheduleWake(double at) {
        wakes.add(at);
        writeLine("wake", at);
    }

    @Override
    public void log(String message) {
        writeLine("log");
    }
}
