package loadbalancer.policy;

import java.util.List;
import java.util.SplittableRandom;

/**
 * The balancing policy of one sidecar, by loss throttling (C4-140439, a change to 3GPP TR 29.807, 6.4.1.2).
 *
 * <p>For each endpoint a drop percentage is learned from this sidecar's own outcomes. A request walks a small random
 * subset of the endpoints in random order; the first whose draw passes gets it, and if none passes it is rejected at
 * once. docs/design.md names what is kept of the document and when each exception acts.
 *
 * <p>This class dispatches the events to the classes that own the state, and runs the control period. All draws are of
 * one generator, so the same seed and the same events give the same actions.
 */
public final class LossThrottlingPolicy implements BalancingPolicy {
    /** The control period as a fraction of the shortest latency objective: several steps fit in a client's wait. */
    private static final double PERIOD_OBJECTIVE_FRACTION = 0.1;

    /** Shortest control period. */
    private static final double MIN_PERIOD_MILLIS = 10;

    /** Each period is drawn from 0.9 to 1.1 times its length, so that sidecars do not act in step. */
    private static final double MIN_PERIOD_FACTOR = 0.9;

    private static final double PERIOD_FACTOR_RANGE = 0.2;

    /** The first one is drawn from 0.5 to 1.5 times its length, for the same reason. */
    private static final double MIN_FIRST_PERIOD_FACTOR = 0.5;

    /** Time after the end of a period at which to wake, so that a rounded clock never shows it too early. */
    private static final double WAKE_DELAY_MILLIS = 0.01;

    private final PolicySettings settings;
    private final PolicyActions actions;
    private final SplittableRandom random;
    private final RequestClass[] classes;
    private final double shortestObjectiveMillis;
    private final double periodMillis;
    private final EndpointTable endpoints;
    private final SubsetSelector subset;
    private final DiscoveryCallSchedule discoveryCalls;
    private final DiscoveryPoller discovery;
    private final PriorityMix priorities;
    private final LatencyBaseline latencies;
    private final OutcomeRecorder outcomes;
    private final ConcurrencyGuard concurrency;
    private final SlowStartBudget slowStart;
    private final RetryBudget retries = new RetryBudget();
    private final RetryAfterCalculator retryAfter;
    private final ProbeScheduler probes;
    private final EndpointPicker picker;
    private double startedAtMillis;
    private double periodStartMillis;
    private double periodEndMillis = Double.POSITIVE_INFINITY;
    private boolean prepared;

    /**
     * A policy for one sidecar.
     *
     * @param seed of all its random draws
     * @param actions through which it acts, only within events
     */
    public LossThrottlingPolicy(PolicySettings settings, long seed, PolicyActions actions) {
        this.settings = settings;
        this.actions = actions;
        this.random = new SplittableRandom(seed);
        RankHash rankHash = new RankHash(random.nextLong());
        this.classes = settings.classes().toArray(new RequestClass[0]);
        this.shortestObjectiveMillis = shortestObjectiveMillis(classes);
        this.periodMillis = Math.max(MIN_PERIOD_MILLIS, shortestObjectiveMillis * PERIOD_OBJECTIVE_FRACTION);
        this.endpoints = new EndpointTable(rankHash, classes.length);
        this.subset = new SubsetSelector(settings.sidecarCount(), periodMillis);
        this.discoveryCalls = new DiscoveryCallSchedule(settings, new ListCurrency(settings.rules()), random);
        this.discovery = new DiscoveryPoller(discoveryCalls, actions);
        this.priorities = new PriorityMix(settings, random);
        this.latencies = new LatencyBaseline(settings.classes());
        this.outcomes = new OutcomeRecorder(latencies);
        this.concurrency = new ConcurrencyGuard(shortestObjectiveMillis);
        this.slowStart = new SlowStartBudget(settings.rules(), random);
        this.retryAfter = new RetryAfterCalculator(settings.limits().maxRetryAfterMillis(), random);
        this.probes = new ProbeScheduler(settings, shortestObjectiveMillis, actions);
        this.picker = new EndpointPicker(random, subset, priorities, concurrency, slowStart);
    }

    private static double shortestObjectiveMillis(RequestClass[] classes) {
        double shortest = Double.MAX_VALUE;
        for (RequestClass requestClass : classes) {
            shortest = Math.min(shortest, requestClass.latencyObjectiveMillis());
        }
        return shortest;
    }

    @Override
    public void prepare(double nowMillis) {
        prepared = true;
        discovery.start(nowMillis);
    }

    @Override
    public void start(double nowMillis) {
        if (!prepared) {
            prepare(nowMillis);
        }
        startedAtMillis = nowMillis;
        periodStartMillis = nowMillis;
        schedulePeriodEnd(nowMillis, periodMillis * (MIN_FIRST_PERIOD_FACTOR + random.nextDouble()));
    }

    @Override
    public void endpointsChanged(double nowMillis, WatchEvent event, List<Endpoint> entries) {
        discovery.watchChanged(nowMillis, event);
        if (event.bringsList()) {
            endpoints.update(nowMillis, event.complete(), entries);
            subset.select(nowMillis, endpoints.ready());
        }
    }

    @Override
    public DiscoveryCallSchedule discoveryCalls() {
        return discoveryCalls;
    }

    @Override
    public void requestArrived(double nowMillis, PolicyRequest request) {
        if (request.state() != null) {
            return;
        }
        int level = priorities.record(request);
        RequestState state = new RequestState(request, classes[request.classIndex()], level, nowMillis);
        request.state(state);
        retries.earn();
        probes.earn();
        forwardOrEnd(nowMillis, state);
    }

    private void forwardOrEnd(double nowMillis, RequestState request) {
        EndpointState endpoint = discovery.listUsable(nowMillis) ? picker.pick(nowMillis, request) : null;
        if (endpoint == null) {
            endWithoutAttempt(nowMillis, request);
        } else {
            endpoint.attemptStarted(request.addAttempt(endpoint, nowMillis));
            actions.forward(request.request(), endpoint.id(), request.attemptTimeoutMillis(nowMillis));
        }
    }

    /** Final response without a further attempt: a rejection only where it is true that a retry does no harm. */
    private void endWithoutAttempt(double nowMillis, RequestState request) {
        request.markCompleted();
        if (nowMillis < request.deadlineAtMillis() && request.clientMayRetry()) {
            actions.reject(request.request(), retryAfter.millis(request.requestClass(), subset.shuffled()));
        } else {
            actions.fail(request.request());
        }
    }

    @Override
    public void attemptEnded(
            double nowMillis,
            PolicyRequest request,
            int attemptNumber,
            AttemptOutcome outcome,
            double durationMillis,
            boolean finished,
            LoadReport report) {
        RequestState state = request.state();
        AttemptState attempt = state == null ? null : state.attemptInFlight(attemptNumber);
        if (attempt == null) {
            return;
        }
        EndpointState endpoint = attempt.endpoint();
        if (outcome == AttemptOutcome.SUCCESS) {
            double usualMillis = latencies.usualMillis(request.classIndex());
            endpoint.inFlight().markOvertakenBy(attempt, nowMillis, Math.max(durationMillis, usualMillis));
        }
        endpoint.attemptEnded(attempt);
        endpoints.forgetIfUnused(endpoint);
        if (!outcome.provesNotExecuted()) {
            state.markPossiblyExecuted(attempt);
        }
        outcomes.record(attempt, outcome, durationMillis, report);
        if (finished || outcome == AttemptOutcome.SUCCESS) {
            state.markCompleted();
        }
        if (!state.completed()) {
            retryOrEnd(nowMillis, state, outcome);
        }
    }

    private void retryOrEnd(double nowMillis, RequestState request, AttemptOutcome lastOutcome) {
        boolean retry = lastOutcome != AttemptOutcome.NOT_SENT
                && request.attemptCount() < settings.limits().maxAttempts()
                && request.retryUseful(nowMillis)
                && retries.tryTake();
        if (retry) {
            forwardOrEnd(nowMillis, request);
        } else {
            endWithoutAttempt(nowMillis, request);
        }
    }

    @Override
    public void responseStreaming(double nowMillis, PolicyRequest request, int attempt) {
        RequestState state = request.state();
        if (state != null) {
            state.markCompleted();
        }
    }

    @Override
    public void clientDisconnected(double nowMillis, PolicyRequest request) {
        RequestState state = request.state();
        if (state == null || state.completed()) {
            return;
        }
        state.markCompleted();
        // Only the last attempt of a request can be in flight.
        int last = state.attemptCount() - 1;
        if (state.attemptInFlight(last) != null && settings.limits().cancellation()) {
            actions.cancelAttempt(request, last);
        }
    }

    @Override
    public void probeEnded(
            double nowMillis, String id, AttemptOutcome outcome, double durationMillis, LoadReport report) {
        EndpointState endpoint = endpoints.find(id);
        if (endpoint != null) {
            endpoint.reportedLoad().recordProbe(nowMillis, report);
        }
    }

    /** Does nothing: the policy sends no messages. */
    @Override
    public void messageReceived(double nowMillis, int from, byte[] message) {}

    @Override
    public void wake(double nowMillis) {
        discovery.wake(nowMillis);
        if (nowMillis >= periodEndMillis) {
            endPeriod(nowMillis);
        }
    }

    /** Endpoints that the policy keeps state of: those on the list, and those that left it with attempts in flight. */
    int knownEndpoints() {
        return endpoints.size();
    }

    private void schedulePeriodEnd(double nowMillis, double inMillis) {
        periodEndMillis = nowMillis + inMillis;
        actions.scheduleWake(periodEndMillis + WAKE_DELAY_MILLIS);
    }

    private void endPeriod(double nowMillis) {
        double elapsedMillis = Math.max(1, nowMillis - periodStartMillis);
        periodStartMillis = nowMillis;
        priorities.endPeriod();
        latencies.endPeriod();
        controlEndpoints(nowMillis, elapsedMillis);
        if (subset.sizeOutdated()) {
            subset.select(nowMillis, endpoints.ready());
        }
        outcomes.endPeriod();
        learnWarmRate(nowMillis);
        subset.updateRelativeSizes();
        probes.endPeriod(nowMillis, subset.ranked());
        double factor = MIN_PERIOD_FACTOR + PERIOD_FACTOR_RANGE * random.nextDouble();
        schedulePeriodEnd(nowMillis, periodMillis * factor);
    }

    private void controlEndpoints(double nowMillis, double elapsedMillis) {
        double healthyInFlight = 0;
        int activeInFlight = 0;
        int notEjected = 0;
        for (EndpointState endpoint : subset.ranked()) {
            endpoint.traffic().endPeriod(elapsedMillis);
            healthyInFlight += endpoint.traffic().healthyInFlight();
            activeInFlight += endpoint.inFlight().activeCount();
            notEjected += endpoint.outlier().ejected() ? 0 : 1;
            OutcomeEvidence lateInFlight = endpoint.inFlight().latenessEvidence(nowMillis, latencies);
            int slowdown = endpoint.outlier().recoverySlowdown();
            endpoint.drop().step(lateInFlight, outcomes.subsetEvidence(), latencies.recoveryPace(), slowdown);
            endpoint.errorRates().endPeriod();
        }
        // No response can have come in the first moments; a start under load must not reject everything.
        if (nowMillis >= startedAtMillis + shortestObjectiveMillis) {
            concurrency.endPeriod(healthyInFlight, notEjected, subset.endpointsPerPlace());
        }
        subset.endPeriod(healthyInFlight, activeInFlight);
    }

    /** Until a warm endpoint has been seen, an even part of all requests stands in for what it would get. */
    private void learnWarmRate(double nowMillis) {
        EndpointState[] ranked = subset.ranked();
        slowStart.learnWarmRate(nowMillis, ranked);
        if (slowStart.warmRateUnknown() && ranked.length > 0) {
            double periods = (nowMillis - startedAtMillis) / periodMillis;
            slowStart.assumeWarmRate(priorities.requestsPerPeriod(periods) / periodMillis / ranked.length);
        }
    }
}
