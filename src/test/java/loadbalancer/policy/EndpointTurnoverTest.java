package loadbalancer.policy;

import static loadbalancer.policy.RequestClasses.HIGH_PRIORITY;
import static loadbalancer.policy.RequestClasses.KEYED_IN_CELL;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Endpoints that are not in the subset, and those that leave the list. */
class EndpointTurnoverTest {
    private static PolicyHarness harness(int sidecars, List<Endpoint> endpoints, RequestClass requestClass) {
        PolicySettings settings = SettingsBuilder.forClasses(requestClass)
                .sidecars(sidecars)
                .endpointListPushed()
                .build();
        return PolicyHarness.started(settings, 5, endpoints);
    }

    @Test
    void retriesKeyedRequestInItsCellOutsideSubset() {
        List<Endpoint> endpoints = IntStream.range(0, 40)
                .mapToObj(i -> Endpoints.inCell("s" + i, i / 2))
                .toList();
        PolicyHarness harness = harness(400, endpoints, KEYED_IN_CELL);
        int retries = 0;
        for (int i = 0; i < 30; i++) {
            double now = 1 + i * 400;
            harness.runTo(now);
            PolicyRequest request = harness.request(now, 0);
            if (!harness.forwarded(request)) {
                continue;
            }
            int first = Endpoints.number(harness.lastEndpoint(request));
            harness.endLastAttempt(now + 10, request, AttemptOutcome.RESET, 10);
            if (harness.attempts(request) == 2) {
                int second = Endpoints.number(harness.lastEndpoint(request));
                assertEquals(first ^ 1, second, "its cell's other endpoint");
                retries++;
                harness.endLastAttempt(now + 20, request, AttemptOutcome.SUCCESS, 10);
            }
        }
        assertTrue(retries >= 5, "retries went to the cell: " + retries);
    }

    @Test
    void forgetsEndpointsThatLeftTheList() {
        PolicyHarness harness = harness(4, Endpoints.fleet(6), HIGH_PRIORITY);
        Queue<PolicyRequest> inFlight = new ArrayDeque<>();
        for (int round = 0; round < 500; round++) {
            double now = 10 + round * 100;
            harness.runTo(now);
            for (int i = 0; i < 4; i++) {
                PolicyRequest request = harness.request(now, 0);
                if (harness.forwarded(request)) {
                    inFlight.add(request);
                }
            }
            replaceEndpoints(harness, now, round);
            while (inFlight.size() > 10) {
                harness.endLastAttempt(now, inFlight.remove(), AttemptOutcome.SUCCESS, 30);
            }
        }
        for (PolicyRequest request : inFlight) {
            harness.endLastAttempt(60_000, request, AttemptOutcome.SUCCESS, 30);
        }
        int known = harness.knownEndpoints();
        assertTrue(known <= 6, "3000 endpoints came and went, known " + known);
    }

    // Six new endpoints, one of them twice; in some rounds one drains at once, or is removed.
    private static void replaceEndpoints(PolicyHarness harness, double now, int round) {
        String prefix = "r" + round + "-";
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            endpoints.add(Endpoints.ready(prefix + i));
        }
        endpoints.add(endpoints.get(0));
        if (round % 3 == 0) {
            endpoints.set(1, Endpoints.draining(prefix + 1));
        }
        harness.snapshot(now, endpoints);
        if (round % 3 == 1) {
            harness.delta(now, Endpoints.removed(prefix + 2));
        }
    }
}
