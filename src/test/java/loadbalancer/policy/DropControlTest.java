package loadbalancer.policy;

import static loadbalancer.policy.RequestClasses.HIGH_PRIORITY;
import static loadbalancer.policy.RequestClasses.LOW_PRIORITY;
import static loadbalancer.policy.RequestClasses.NOT_IDEMPOTENT;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The drop percentages and the order of priorities, seen through the endpoints chosen. */
class DropControlTest {
    private static PolicyHarness harness(int endpoints, RequestClass... classes) {
        return PolicyHarness.started(SettingsBuilder.forClasses(classes).build(), 11, Endpoints.fleet(endpoints));
    }

    @Test
    void shedsRejectingEndpointUntilItRecovers() {
        PolicyHarness harness = harness(4, HIGH_PRIORITY);
        Traffic.every(5, harness).run(1, 3000);
        TrafficCounts rejecting = Traffic.every(5, harness)
                .endingAs(AttemptOutcome.REJECTED, "s2")
                .run(3000, 9000);
        assertTrue(rejecting.attempts("s2") < rejecting.attempts("s1") / 4, "shed: " + rejecting);
        assertTrue(rejecting.attempts("s2") > 0, "still tried now and then: " + rejecting);
        Traffic.every(5, harness).run(9000, 19_000);
        TrafficCounts recovered = Traffic.every(5, harness).run(19_000, 25_000);
        assertTrue(recovered.attempts("s1") > 0, "the others serve: " + recovered);
        assertTrue(recovered.attempts("s2") > recovered.attempts("s1") / 2, "back without a restart: " + recovered);
    }

    @Test
    void prefersHighPriorityWhenAllEndpointsReject() {
        PolicyHarness harness = harness(4, HIGH_PRIORITY, LOW_PRIORITY);
        int[] attempts = new int[1];
        Traffic.every(5, harness)
                .endingAs((endpoint, classIndex) ->
                        attempts[0]++ % 3 == 0 ? AttemptOutcome.SUCCESS : AttemptOutcome.REJECTED)
                .run(1, 20_000);
        int[] forwarded = new int[2];
        for (PolicyRequest request : harness.requests()) {
            if (request.id() > 2000 && harness.forwarded(request)) {
                forwarded[request.classIndex()]++;
            }
        }
        assertTrue(forwarded[0] > 5 * Math.max(1, forwarded[1]) / 2, "high " + forwarded[0] + " low " + forwarded[1]);
        assertTrue(forwarded[0] > 20, "some of high priority always gets through: " + forwarded[0]);
    }

    @Test
    void rejectsWithRetryAfterWithinItsMaximum() {
        PolicyHarness harness = harness(4, HIGH_PRIORITY);
        Traffic.every(5, harness).endingAs(AttemptOutcome.REJECTED).run(1, 6000);
        assertTrue(harness.countAnswers(FinalAnswer.REJECTED) > 0);
        assertTrue(harness.lastRetryAfterMillis() > 0 && harness.lastRetryAfterMillis() <= 2000);
    }

    @Test
    void dropsTrafficOverTenantQuotaFirst() {
        PolicySettings settings = SettingsBuilder.forClasses(HIGH_PRIORITY)
                .tenants(0.2, new Tenant("t0", 0.5, 100), new Tenant("t1", 0.5, 100))
                .build();
        PolicyHarness harness = PolicyHarness.started(settings, 3, Endpoints.fleet(4));
        int[] requests = new int[2];
        int[] forwarded = new int[2];
        int number = 0;
        for (double now = 1; now < 20_000; now += 5, number++) {
            harness.runTo(now);
            int tenant = number % 5 == 0 ? 1 : 0;
            PolicyRequest request = harness.request(now, 0, tenant, 2000);
            requests[tenant]++;
            if (harness.forwarded(request)) {
                forwarded[tenant]++;
                AttemptOutcome outcome = number % 3 == 0 ? AttemptOutcome.SUCCESS : AttemptOutcome.RESET;
                harness.endLastAttempt(now, request, outcome, 50);
            }
            if (!harness.answered(request) && harness.attempts(request) > 1) {
                harness.endLastAttempt(now, request, AttemptOutcome.SUCCESS, 50);
            }
        }
        double within = (double) forwarded[1] / requests[1];
        double over = (double) forwarded[0] / requests[0];
        assertTrue(within > over * 1.2, "the tenant within its quota " + within + ", the one over it " + over);
    }

    @Test
    void rejectsAtLowRateWhenAllEndpointsFail() {
        PolicyHarness harness = harness(20, NOT_IDEMPOTENT);
        Traffic.every(60, harness).run(1, 5000);
        Traffic.every(60, harness).endingAs(AttemptOutcome.RESET).run(5000, 15_000);
        long rejected = harness.requests().stream()
                .filter(request -> request.id() > 160 && harness.answer(request) == FinalAnswer.REJECTED)
                .count();
        assertTrue(rejected > 20, "of some 90 requests after the first seconds of failures: " + rejected);
    }

    @Test
    void usesSingleRemainingEndpointAcrossClockJump() {
        PolicyHarness harness = harness(6, HIGH_PRIORITY);
        harness.snapshot(5, List.of(Endpoints.ready("s3")));
        TrafficCounts before = Traffic.every(20, harness).run(10, 2000);
        assertEquals(Set.of("s3"), before.endpoints());
        harness.runTo(3_600_000);
        TrafficCounts after = Traffic.every(20, harness).run(3_600_000, 3_602_000);
        assertTrue(after.attempts("s3") > 80, "as before the jump: " + after);
    }
}
