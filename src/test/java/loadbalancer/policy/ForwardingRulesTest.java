package loadbalancer.policy;

import static loadbalancer.policy.RequestClasses.HIGH_PRIORITY;
import static loadbalancer.policy.RequestClasses.KEYED_IN_ZONE;
import static loadbalancer.policy.RequestClasses.NOT_IDEMPOTENT;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** What may be forwarded, repeated, cancelled and rejected; each rule by a script that needs it. */
class ForwardingRulesTest {
    private static final RequestClass IDEMPOTENT = HIGH_PRIORITY;

    private static PolicyHarness harness(boolean hedging, RequestClass requestClass, List<Endpoint> endpoints) {
        PolicySettings settings =
                SettingsBuilder.forClasses(requestClass).hedging(hedging).build();
        return PolicyHarness.started(settings, 7, endpoints);
    }

    private static PolicyHarness sixEndpoints(RequestClass requestClass) {
        return harness(false, requestClass, Endpoints.fleet(6));
    }

    @Test
    void rejectsAtOnceWithoutEndpoints() {
        PolicyHarness harness = harness(false, IDEMPOTENT, List.of());
        PolicyRequest request = harness.request(1, 0);
        assertEquals(FinalAnswer.REJECTED, harness.answer(request));
    }

    @Test
    void failsOnTimeoutAtDeadline() {
        PolicyHarness harness = sixEndpoints(IDEMPOTENT);
        PolicyRequest request = harness.request(1, 0, -1, 300);
        harness.endLastAttempt(301, request, AttemptOutcome.TIMED_OUT, 300);
        assertEquals(FinalAnswer.FAILED, harness.answer(request));
        assertEquals(1, harness.attempts(request));
    }

    static Stream<AttemptOutcome> uncertainOutcomes() {
        return Arrays.stream(AttemptOutcome.values())
                .filter(outcome -> !outcome.provesNotExecuted() && outcome != AttemptOutcome.SUCCESS);
    }

    @ParameterizedTest
    @MethodSource("uncertainOutcomes")
    void failsNotIdempotentRequestThatMayHaveRun(AttemptOutcome outcome) {
        PolicyHarness harness = sixEndpoints(NOT_IDEMPOTENT);
        PolicyRequest request = harness.request(1, 0);
        harness.endLastAttempt(20, request, outcome, 19);
        assertEquals(1, harness.attempts(request));
        assertEquals(FinalAnswer.FAILED, harness.answer(request));
    }

    @Test
    void retriesRejectedNotIdempotentRequestElsewhere() {
        PolicyHarness harness = sixEndpoints(NOT_IDEMPOTENT);
        PolicyRequest request = harness.request(1, 0);
        String first = harness.lastEndpoint(request);
        harness.endLastAttempt(20, request, AttemptOutcome.REJECTED, 19);
        assertEquals(2, harness.attempts(request));
        assertNotEquals(first, harness.lastEndpoint(request));
    }

    @Test
    void retriesKeyedRequestOnlyInItsZone() {
        List<Endpoint> endpoints = IntStream.range(0, 10)
                .mapToObj(i -> Endpoints.inZone("s" + i, "z" + i % 2))
                .toList();
        for (int seed = 0; seed < 40; seed++) {
            PolicyHarness harness = PolicyHarness.started(
                    SettingsBuilder.forClasses(KEYED_IN_ZONE).build(), seed, endpoints);
            PolicyRequest request = harness.request(1, 0);
            int first = Endpoints.number(harness.lastEndpoint(request));
            harness.endLastAttempt(20, request, AttemptOutcome.RESET, 19);
            if (harness.attempts(request) == 2) {
                assertEquals(first % 2, Endpoints.number(harness.lastEndpoint(request)) % 2);
            } else {
                assertEquals(FinalAnswer.FAILED, harness.answer(request));
            }
        }
    }

    // An overdue attempt is neither hedged nor cancelled: in an overload such repeats kept it going.
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void leavesOverdueAttemptAlone(boolean hedging) {
        PolicyHarness harness = harness(hedging, IDEMPOTENT, Endpoints.fleet(6));
        PolicyRequest request = harness.request(1, 0);
        harness.runTo(1900);
        assertEquals(1, harness.attempts(request));
        assertEquals(0, harness.cancellations());
        harness.endLastAttempt(1900, request, AttemptOutcome.RESET, 1899);
        assertEquals(FinalAnswer.REJECTED, harness.answer(request), "past its objective another attempt is useless");
    }

    @Test
    void cancelsAttemptWhenClientDisconnects() {
        PolicyHarness harness = sixEndpoints(IDEMPOTENT);
        PolicyRequest request = harness.request(1, 0);
        harness.clientDisconnects(5, request);
        assertEquals(1, harness.cancellations());
        harness.endLastAttempt(6, request, AttemptOutcome.CANCELLED, 5);
        assertNull(harness.answer(request), "no answer is owed");
        assertEquals(1, harness.attempts(request));
    }

    @Test
    void forwardsNothingToDrainingOrRemovedEndpoint() {
        PolicyHarness harness = harness(false, IDEMPOTENT, Endpoints.fleet(3));
        harness.delta(5, Endpoints.draining("s0"));
        harness.snapshot(6, List.of(Endpoints.draining("s0"), Endpoints.ready("s1")));
        for (int i = 0; i < 50; i++) {
            PolicyRequest request = harness.request(7 + i, 0);
            assertEquals("s1", harness.lastEndpoint(request));
            harness.endLastAttempt(7 + i, request, AttemptOutcome.SUCCESS, 1);
        }
    }
}
