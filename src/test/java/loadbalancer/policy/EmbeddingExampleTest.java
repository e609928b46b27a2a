package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** An example of a sidecar that embeds the policy; it compiles and runs here. */
class EmbeddingExampleTest {
    /** The embedder's side: it carries out what the policy decides. */
    private static final class Sidecar implements PolicyActions {
        private final List<String> actions = new ArrayList<>();

        @Override
        public void forward(PolicyRequest request, String endpoint, double timeoutMillis) {
            actions.add("forward to " + endpoint);
        }

        @Override
        public void cancelAttempt(PolicyRequest request, int attempt) {
            actions.add("cancel");
        }

        @Override
        public void reject(PolicyRequest request, double retryAfterMillis) {
            actions.add("reject");
        }

        @Override
        public void fail(PolicyRequest request) {
            actions.add("fail");
        }

        @Override
        public void probe(String endpoint) {
            actions.add("probe " + endpoint);
        }

        @Override
        public void watchEndpoints() {
            actions.add("watch");
        }

        @Override
        public void broadcast(byte[] message) {
            actions.add("broadcast");
        }

        @Override
        public void scheduleWake(double at) {
            actions.add("wake");
        }

        @Override
        public void log(String line) {
            actions.add(line);
        }
    }

    @Test
    void forwardsRequestAndTakesItsResponse() {
        RequestClass read =
                new RequestClass("read", 1, 0, 300, 1000, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, false);
        PolicySettings settings = new PolicySettings(
                List.of(read),
                List.of(),
                1,
                new PolicyLimits(3, false, true, false, false, true, 1000, 0),
                new OperatorRules(1000, 3, 1000, 0.2, 20_000, 0),
                LoadReporting.NONE,
                false,
                2,
                0);
        Sidecar sidecar = new Sidecar();
        BalancingPolicy policy = new LossThrottlingPolicy(settings, 42, sidecar);

        policy.start(0);
        policy.endpointsChanged(
                0, WatchEvent.SNAPSHOT, List.of(new Endpoint("db-1:443", EndpointStatus.READY, 1, "hall", 0, 0)));
        PolicyRequest request = new PolicyRequest(1, 0, -1, 1000, false);
        policy.requestArrived(5, request);
        policy.attemptEnded(25, request, 0, AttemptOutcome.SUCCESS, 20, true, null);

        assertEquals(List.of("wake", "forward to db-1:443"), sidecar.actions);
    }
}
