package loadbalancer.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import loadbalancer.policy.SlowStartScenario.Disturbance;

/** A simulated sidecar: carries out what its policy decides. */
final class SlowStartSidecar implements PolicyActions {
    private static final double CLIENT_DEADLINE_MILLIS = 2000;
    private static final double CLIENT_RETRY_PROBABILITY = 0.8;

    /** Ends an attempt by the first outcome only. */
    private final class Attempt implements Consumer<AttemptOutcome> {
        private final PolicyRequest request;
        private final int number;
        private final double sentAt = clock.now();
        private boolean ended;

        Attempt(PolicyRequest request, int number) {
            this.request = request;
            this.number = number;
        }

        @Override
        public void accept(AttemptOutcome outcome) {
            if (!ended) {
                ended = true;
                double now = clock.now();
                boolean finished = outcome == AttemptOutcome.SUCCESS;
                policy.attemptEnded(now, request, number, outcome, now - sentAt, finished, null);
            }
        }
    }

    private final SlowStartScenario scenario;
    private final SimulatedClock clock;
    private final Random random;
    private final List<SlowStartEndpoint> endpoints;
    private final BalancingPolicy policy;
    private final Map<Long, Integer> attempts = new HashMap<>();
    private long nextId;

    /** A sidecar whose policy is seeded by the next draw of {@code random}. */
    SlowStartSidecar(
            SlowStartScenario scenario, SimulatedClock clock, Random random, List<SlowStartEndpoint> endpoints) {
        this.scenario = scenario;
        this.clock = clock;
        this.random = random;
        this.endpoints = endpoints;
        policy = new LossThrottlingPolicy(scenario.settings(), random.nextLong(), this);
    }

    void start(List<Endpoint> entries) {
        policy.start(clock.now());
        policy.endpointsChanged(clock.now(), WatchEvent.SNAPSHOT, entries);
    }

    void endpointsChanged(List<Endpoint> entries) {
        policy.endpointsChanged(clock.now(), WatchEvent.DELTA, entries);
    }

    /** A client's request arrives. */
    void request() {
        policy.requestArrived(clock.now(), new PolicyRequest(nextId++, 0, -1, CLIENT_DEADLINE_MILLIS, false));
    }

    @Override
    public void forward(PolicyRequest request, String endpoint, double timeoutMillis) {
        Attempt attempt = new Attempt(request, attempts.merge(request.id(), 1, Integer::sum) - 1);
        endpoints
                .get(Endpoints.number(endpoint))
                .receive(timeoutMillis > 0 ? timeoutMillis : CLIENT_DEADLINE_MILLIS, attempt);
    }

    @Override
    public void reject(PolicyRequest request, double retryAfterMillis) {
        if (scenario.has(Disturbance.CLIENT_RETRIES) && random.nextDouble() < CLIENT_RETRY_PROBABILITY) {
            clock.at(clock.now() + retryAfterMillis, this::request);
        }
    }

    @Override
    public void scheduleWake(double at) {
        clock.at(at, () -> policy.wake(clock.now()));
    }

    @Override
    public void cancelAttempt(PolicyRequest request, int attempt) {}

    @Override
    public void fail(PolicyRequest request) {}

    @Override
    public void probe(String endpoint) {}

    @Override
    public void watchEndpoints() {}

    @Override
    public void broadcast(byte[] message) {}

    @Override
    public void log(String line) {}
}
