package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The README's example of a sidecar that embeds the module; it compiles and runs here. */
class EmbeddingExampleTest {
    /** A sidecar's side: it carries out what the module decides. */
    static final class Sidecar implements PolicyActions {
        final List<String> did = new ArrayList<>();

        @Override
        public void forward(PolicyRequest r, String server, double within) {
            did.add("send to " + server);
        }

        @Override
        public void cancelAttempt(PolicyRequest r, int attempt) {
            did.add("cancel");
        }

        @Override
        public void reject(PolicyRequest r, double retryAfter) {
            did.add("refuse");
        }

        @Override
        public void fail(PolicyRequest r) {
            did.add("fail");
        }

        @Override
        public void probe(String server) {
            did.add("probe " + server);
        }

        @Override
        public void watchEndpoints() {
            did.add("watch");
        }

        @Override
        public void broadcast(byte[] text) {
            did.add("tell");
        }

        @Override
        public void scheduleWake(double at) {
            did.add("wake");
        }

        @Override
        public void log(String line) {
            did.add(line);
        }
    }

    @Test
    void aRequestIsSentAndItsAnswerTold() {
        RequestClass read =
                new RequestClass("read", 1, 0, 300, 1000, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, false);
        PolicySettings settings = new PolicySettings(
                List.of(read),
                List.of(),
                1,
                new PolicyLimits(3, false, true, false, false, true, 1000, 0),
                new OperatorRules(1000, 3, 1000, 0.2, 20000, 0),
                LoadReporting.NONE,
                false,
                2,
                0);
        Sidecar sidecar = new Sidecar();
        BalancingPolicy module = new LossThrottlingPolicy(settings, 42, sidecar);

        module.start(0);
        module.endpointsChanged(
                0, WatchEvent.SNAPSHOT, List.of(new Endpoint("db-1:443", EndpointStatus.READY, 1, "hall", 0, 0)));
        PolicyRequest request = new PolicyRequest(1, 0, -1, 1000, false);
        module.requestArrived(5, request);
        module.attemptEnded(25, request, 0, AttemptOutcome.SUCCESS, 20, true, null);

        assertEquals(List.of("wake", "send to db-1:443"), sidecar.did);
    }
}
