package loadbalancer.policy;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/** A scripted sidecar: collects the module's actions and lets a test answer them one by one. */
final class Rig implements PolicyActions {
    /** An action as text, for comparing whole runs. */
    final List<String> actions = new ArrayList<>();

    final Map<Long, List<String>> sentTo = new LinkedHashMap<>();
    final Map<Long, PolicyRequest> requests = new LinkedHashMap<>();
    final Map<Long, String> answers = new LinkedHashMap<>();
    final List<String> probes = new ArrayList<>();
    final List<double[]> cancels = new ArrayList<>();
    int watches;
    private final PriorityQueue<Double> wakes = new PriorityQueue<>();
    double lastRetryAfter = Double.NaN;
    double lastWithin = Double.NaN;
    final LossThrottlingPolicy module;
    private final PolicySettings settings;
    private long nextId;

    Rig(PolicySettings settings, long seed) {
        this.settings = settings;
        module = new LossThrottlingPolicy(settings, seed, this);
    }

    static RequestClass kind(String name, double worth, Idempotency effect, DeduplicationScope group) {
        return new RequestClass(name, worth, 0, 500, 2000, effect, group, 5000, false);
    }

    static PolicySettings settings(boolean copies, RequestClass... classes) {
        return new PolicySettings(
                List.of(classes),
                List.of(),
                1,
                new PolicyLimits(5, copies, true, false, false, true, 2000, 0),
                new OperatorRules(1000, 3, 1000, 0.2, 20000, 10000),
                LoadReporting.NONE,
                true,
                4,
                0);
    }

    /** The clock, and the ends of each request's attempts, for a test that checks the rules at each action. */
    double now;

    boolean checked;
    private final Map<Long, List<AttemptOutcome>> ends = new LinkedHashMap<>();
    private final Map<Long, List<Double>> sentAt = new LinkedHashMap<>();

    void noteOutcome(PolicyRequest r, int attempt, AttemptOutcome outcome) {
        ends.get(r.id()).set(attempt, outcome);
    }

    int outstanding(PolicyRequest r) {
        int n = 0;
        for (AttemptOutcome o : ends.getOrDefault(r.id(), List.of())) {
            n += o == null ? 1 : 0;
        }
        return n;
    }

    /** Rule 2: what may be sent again, and where, and when a refusal is true. */
    private void checkRepeat(PolicyRequest r, String server) {
        RequestClass k = settings.classes().get(r.classIndex());
        List<AttemptOutcome> e = ends.computeIfAbsent(r.id(), x -> new ArrayList<>());
        if (server != null && !settings.limits().hedging() && outstanding(r) > 0) {
            throw new AssertionError("two attempts at once: " + r.id());
        }
        for (int i = 0; i < e.size(); i++) {
            if (e.get(i) != null && e.get(i).provesNotExecuted() || k.idempotency() == Idempotency.IDEMPOTENT) {
                continue;
            }
            if (k.idempotency() == Idempotency.NOT_IDEMPOTENT || server == null) {
                throw new AssertionError("may have run, " + (server == null ? "refused: " : "sent again: ") + r.id());
            }
            int zone = Integer.parseInt(server.substring(1)) % 3;
            if (zone != Integer.parseInt(sentTo.get(r.id()).get(i).substring(1)) % 3) {
                throw new AssertionError("keyed request left its group: " + r.id());
            }
            if (now > sentAt.get(r.id()).get(i) + k.deduplicationWindowMillis()) {
                throw new AssertionError("keyed request after its window: " + r.id());
            }
        }
    }

    int classCount() {
        return settings.classes().size();
    }

    static Endpoint up(String id) {
        return new Endpoint(id, EndpointStatus.READY, 1, "z", 0, 0);
    }

    static List<Endpoint> fleet(int n) {
        List<Endpoint> list = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            list.add(up("s" + i));
        }
        return list;
    }

    PolicyRequest ask(double now, int classIndex) {
        return ask(now, classIndex, -1, 2000);
    }

    PolicyRequest ask(double now, int classIndex, int tenant, double left) {
        PolicyRequest r = new PolicyRequest(nextId++, classIndex, tenant, left, false);
        requests.put(r.id(), r);
        module.requestArrived(now, r);
        return r;
    }

    /** Wakes the module whenever it asked for it, up to a time. */
    void runTo(double until) {
        while (!wakes.isEmpty() && wakes.peek() <= until) {
            double at = wakes.poll();
            this.now = at;
            module.wake(at);
        }
    }

    void end(double now, PolicyRequest r, AttemptOutcome outcome, double took) {
        int attempt = sentTo.get(r.id()).size() - 1;
        module.attemptEnded(now, r, attempt, outcome, took, outcome == AttemptOutcome.SUCCESS, null);
    }

    String lastServer(PolicyRequest r) {
        List<String> s = sentTo.get(r.id());
        return s == null ? null : s.get(s.size() - 1);
    }

    int sends(PolicyRequest r) {
        return sentTo.containsKey(r.id()) ? sentTo.get(r.id()).size() : 0;
    }

    private void answer(PolicyRequest r, String what) {
        if (answers.put(r.id(), what) != null) {
            throw new AssertionError("two answers for " + r.id());
        }
    }

    @Override
    public void forward(PolicyRequest r, String server, double within) {
        if (answers.containsKey(r.id())) {
            throw new AssertionError("sent after the answer: " + r.id());
        }
        if (checked) {
            checkRepeat(r, server);
            ends.get(r.id()).add(null);
            sentAt.computeIfAbsent(r.id(), k -> new ArrayList<>()).add(now);
        }
        sentTo.computeIfAbsent(r.id(), k -> new ArrayList<>()).add(server);
        lastWithin = within;
        actions.add("send " + r.id() + " " + server + " " + within);
    }

    @Override
    public void cancelAttempt(PolicyRequest r, int attempt) {
        cancels.add(new double[] {r.id(), attempt});
        actions.add("cancel " + r.id() + " " + attempt);
    }

    @Override
    public void reject(PolicyRequest r, double retryAfter) {
        if (checked) {
            checkRepeat(r, null);
        }
        answer(r, "refuse");
        lastRetryAfter = retryAfter;
        actions.add("refuse " + r.id() + " " + retryAfter);
    }

    @Override
    public void fail(PolicyRequest r) {
        answer(r, "fail");
        actions.add("fail " + r.id());
    }

    @Override
    public void probe(String server) {
        probes.add(server);
        actions.add("probe " + server);
    }

    @Override
    public void watchEndpoints() {
        watches++;
        actions.add("watch");
    }

    @Override
    public void broadcast(byte[] text) {
        actions.add("tell " + text.length);
    }

    @Override
    public void scheduleWake(double at) {
        wakes.add(at);
        actions.add("wake " + at);
    }

    @Override
    public void log(String line) {
        actions.add("log " + line);
    }
}
