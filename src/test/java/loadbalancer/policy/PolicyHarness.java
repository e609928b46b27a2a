package loadbalancer.policy;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/** A scripted embedder: feeds a policy its events and records its actions. */
final class PolicyHarness implements PolicyActions {
    private static final double DEFAULT_TIMEOUT_MILLIS = 2000;

    private final PolicySettings settings;
    private final LossThrottlingPolicy policy;
    private final List<String> actions = new ArrayList<>();
    private final Map<Long, PolicyRequest> requests = new LinkedHashMap<>();
    private final Map<Long, List<ForwardedAttempt>> attempts = new LinkedHashMap<>();
    private final List<ForwardedAttempt> forwardedAttempts = new ArrayList<>();
    private final Map<Long, FinalAnswer> answers = new LinkedHashMap<>();
    private final PriorityQueue<Double> wakes = new PriorityQueue<>();
    private RepeatRuleCheck repeatRuleCheck;
    private int probes;
    private int cancellations;
    private int watches;
    private double lastRetryAfterMillis = Double.NaN;
    private double now;
    private long nextId;

    PolicyHarness(PolicySettings settings, long seed) {
        this.settings = settings;
        policy = new LossThrottlingPolicy(settings, seed, this);
    }

    /** A harness whose policy started at 0 and got a snapshot of these endpoints then. */
    static PolicyHarness started(PolicySettings settings, long seed, List<Endpoint> endpoints) {
        PolicyHarness harness = new PolicyHarness(settings, seed);
        harness.start(0);
        harness.snapshot(0, endpoints);
        return harness;
    }

    /** From now on each repeat and rejection is checked against the rules on repeated execution. */
    void checkRepeats() {
        repeatRuleCheck = new RepeatRuleCheck(settings);
    }

    // Events.

    void start(double time) {
        now = time;
        policy.start(time);
    }

    void snapshot(double time, List<Endpoint> endpoints) {
        watchEvent(time, WatchEvent.SNAPSHOT, endpoints);
    }

    void delta(double time, Endpoint... endpoints) {
        watchEvent(time, WatchEvent.DELTA, List.of(endpoints));
    }

    /** A watch event that carries no endpoints. */
    void watchEvent(double time, WatchEvent event) {
        watchEvent(time, event, List.of());
    }

    void watchEvent(double time, WatchEvent event, List<Endpoint> endpoints) {
        now = time;
        policy.endpointsChanged(time, event, endpoints);
    }

    /** A request of this class arrives, without a tenant and with a timeout of two seconds. */
    PolicyRequest request(double time, int classIndex) {
        return request(time, classIndex, -1, DEFAULT_TIMEOUT_MILLIS);
    }

    PolicyRequest request(double time, int classIndex, int tenantIndex, double timeoutMillis) {
        PolicyRequest request = new PolicyRequest(nextId++, classIndex, tenantIndex, timeoutMillis, false);
        requestArrives(time, request);
        return request;
    }

    void requestArrives(double time, PolicyRequest request) {
        now = time;
        requests.put(request.id(), request);
        policy.requestArrived(time, request);
    }

    /** The last attempt of the request ends, without a load report. */
    void endLastAttempt(double time, PolicyRequest request, AttemptOutcome outcome, double durationMillis) {
        endLastAttempt(time, request, outcome, durationMillis, null);
    }

    void endLastAttempt(
            double time, PolicyRequest request, AttemptOutcome outcome, double durationMillis, LoadReport report) {
        boolean finished = outcome == AttemptOutcome.SUCCESS;
        endAttempt(time, lastAttempt(request), outcome, durationMillis, finished, report);
    }

    void endAttempt(
            double time,
            ForwardedAttempt attempt,
            AttemptOutcome outcome,
            double durationMillis,
            boolean finished,
            LoadReport report) {
        now = time;
        if (repeatRuleCheck != null) {
            repeatRuleCheck.attemptEnded(attempt, outcome);
        }
        policy.attemptEnded(time, attempt.request(), attempt.number(), outcome, durationMillis, finished, report);
    }

    void clientDisconnects(double time, PolicyRequest request) {
        now = time;
        policy.clientDisconnected(time, request);
    }

    void probeEnds(double time, String endpoint, LoadReport report) {
        now = time;
        policy.probeEnded(time, endpoint, AttemptOutcome.SUCCESS, 1, report);
    }

    void messageArrives(double time, int from, byte[] message) {
        now = time;
        policy.messageReceived(time, from, message);
    }

    /** Wakes the policy each time that it scheduled, up to this one. */
    void runTo(double until) {
        while (!wakes.isEmpty() && wakes.peek() <= until) {
            now = wakes.poll();
            policy.wake(now);
        }
    }

    // What the policy did.

    /** Every action as text, for comparing whole runs. */
    List<String> actions() {
        return Collections.unmodifiableList(actions);
    }

    Collection<PolicyRequest> requests() {
        return requests.values();
    }

    int attempts(PolicyRequest request) {
        return attempts.getOrDefault(request.id(), List.of()).size();
    }

    boolean forwarded(PolicyRequest request) {
        return attempts(request) > 0;
    }

    /** The endpoint of the request's last attempt, or null. */
    String lastEndpoint(PolicyRequest request) {
        return forwarded(request) ? lastAttempt(request).endpoint() : null;
    }

    /** Every attempt that was forwarded, in order. */
    List<ForwardedAttempt> forwardedAttempts() {
        return Collections.unmodifiableList(forwardedAttempts);
    }

    /** The final answer to the request, or null while there is none. */
    FinalAnswer answer(PolicyRequest request) {
        return answers.get(request.id());
    }

    boolean answered(PolicyRequest request) {
        return answers.containsKey(request.id());
    }

    /** Notes an answer that the policy does not give, unless the request has one. */
    void noteAnswer(PolicyRequest request, FinalAnswer answer) {
        answers.putIfAbsent(request.id(), answer);
    }

    int countAnswers(FinalAnswer answer) {
        return Collections.frequency(answers.values(), answer);
    }

    boolean isInFlight(PolicyRequest request) {
        return repeatRuleCheck.inFlight(request) > 0;
    }

    int probes() {
        return probes;
    }

    int cancellations() {
        return cancellations;
    }

    /** How often the policy opened the watch on the endpoint list. */
    int watches() {
        return watches;
    }

    double lastRetryAfterMillis() {
        return lastRetryAfterMillis;
    }

    /** Endpoints that the policy keeps state of. */
    int knownEndpoints() {
        return policy.knownEndpoints();
    }

    int classCount() {
        return settings.classes().size();
    }

    private ForwardedAttempt lastAttempt(PolicyRequest request) {
        List<ForwardedAttempt> all = attempts.get(request.id());
        return all.get(all.size() - 1);
    }

    private void answer(PolicyRequest request, FinalAnswer answer) {
        if (answers.put(request.id(), answer) != null) {
            throw new AssertionError("two answers for " + request.id());
        }
    }

    @Override
    public void forward(PolicyRequest request, String endpoint, double timeoutMillis) {
        if (answered(request)) {
            throw new AssertionError("forwarded after the answer: " + request.id());
        }
        ForwardedAttempt attempt = new ForwardedAttempt(request, attempts(request), endpoint, now);
        if (repeatRuleCheck != null) {
            repeatRuleCheck.forwarded(attempt);
        }
        attempts.computeIfAbsent(request.id(), id -> new ArrayList<>()).add(attempt);
        forwardedAttempts.add(attempt);
        actions.add("forward " + request.id() + " " + endpoint + " " + timeoutMillis);
    }

    @Override
    public void cancelAttempt(PolicyRequest request, int attempt) {
        cancellations++;
        actions.add("cancel " + request.id() + " " + attempt);
    }

    @Override
    public void reject(PolicyRequest request, double retryAfterMillis) {
        if (repeatRuleCheck != null) {
            repeatRuleCheck.rejected(request);
        }
        answer(request, FinalAnswer.REJECTED);
        lastRetryAfterMillis = retryAfterMillis;
        actions.add("reject " + request.id() + " " + retryAfterMillis);
    }

    @Override
    public void fail(PolicyRequest request) {
        answer(request, FinalAnswer.FAILED);
        actions.add("fail " + request.id());
    }

    @Override
    public void probe(String endpoint) {
        probes++;
        actions.add("probe " + endpoint);
    }

    @Override
    public void watchEndpoints() {
        watches++;
        actions.add("watch");
    }

    @Override
    public void broadcast(byte[] message) {
        actions.add("broadcast " + message.length);
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
