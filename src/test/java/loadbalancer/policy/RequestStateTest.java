package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** When a request may be repeated, and how long an attempt may take. */
class RequestStateTest {
    private final EndpointState first = PolicyStates.endpoint(Endpoints.inZone("s0", "a"));
    private final EndpointState sameZone = PolicyStates.endpoint(Endpoints.inZone("s1", "a"));
    private final EndpointState otherZone = PolicyStates.endpoint(Endpoints.inZone("s2", "b"));

    private RequestState possiblyExecuted(RequestClass requestClass) {
        RequestState request = PolicyStates.request(requestClass, 0);
        request.markPossiblyExecuted(request.addAttempt(first, 0));
        return request;
    }

    @Test
    void repeatsAnywhereUntilPossiblyExecuted() {
        RequestState request = PolicyStates.request(RequestClasses.NOT_IDEMPOTENT, 0);
        request.addAttempt(first, 0);
        assertTrue(request.mayRepeatAt(otherZone, 100));
        assertTrue(request.clientMayRetry());
        assertTrue(request.retryUseful(100));
        assertFalse(request.boundToDeduplicationScope());
    }

    @Test
    void neverRepeatsPossiblyExecutedNotIdempotentRequest() {
        RequestState request = possiblyExecuted(RequestClasses.NOT_IDEMPOTENT);
        assertFalse(request.mayRepeatAt(sameZone, 100));
        assertFalse(request.clientMayRetry());
        assertFalse(request.retryUseful(100));
    }

    @Test
    void repeatsKeyedRequestInItsZoneAndWindow() {
        RequestState request = possiblyExecuted(RequestClasses.KEYED_IN_ZONE);
        assertTrue(request.boundToDeduplicationScope());
        assertTrue(request.mayRepeatAt(sameZone, 4999));
        assertFalse(request.mayRepeatAt(sameZone, 5000));
        assertFalse(request.mayRepeatAt(otherZone, 100));
        assertFalse(request.clientMayRetry());
    }

    @Test
    void firstPossiblyExecutedAttemptDecides() {
        RequestState request = PolicyStates.request(RequestClasses.KEYED_IN_ZONE, 0);
        AttemptState earlier = request.addAttempt(first, 0);
        request.markPossiblyExecuted(earlier);
        request.markPossiblyExecuted(request.addAttempt(sameZone, 1000));
        assertSame(earlier, request.possiblyExecuted());
        assertFalse(request.mayRepeatAt(sameZone, 5000));
    }

    @Test
    void retryIsUsefulUpToObjectiveOrForLateWeightUpToDeadline() {
        RequestState request = PolicyStates.request(RequestClasses.HIGH_PRIORITY, 0);
        assertTrue(request.retryUseful(499));
        assertFalse(request.retryUseful(500));
        RequestClass lateWeight =
                new RequestClass("late", 1, 0.3, 500, 2000, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, false);
        assertTrue(PolicyStates.request(lateWeight, 0).retryUseful(1999));
        assertFalse(PolicyStates.request(lateWeight, 0).retryUseful(2000));
        assertFalse(PolicyStates.request(lateWeight, 0, 300).retryUseful(300));
    }

    @Test
    void attemptEndsAtObjectiveWhenClientMayNotRepeat() {
        assertEquals(0, PolicyStates.request(RequestClasses.HIGH_PRIORITY, 0).attemptTimeoutMillis(100));
        RequestState request = PolicyStates.request(RequestClasses.NOT_IDEMPOTENT, 0);
        assertEquals(400, request.attemptTimeoutMillis(100));
        assertEquals(1, request.attemptTimeoutMillis(700));
        RequestState shortDeadline = PolicyStates.request(RequestClasses.NOT_IDEMPOTENT, 0, 400);
        assertEquals(0, shortDeadline.attemptTimeoutMillis(100));
    }

    @Test
    void findsAttemptsByNumberWhileInFlight() {
        RequestState request = PolicyStates.request(RequestClasses.HIGH_PRIORITY, 0);
        AttemptState attempt = null;
        for (int i = 0; i < 5; i++) {
            attempt = request.addAttempt(first, i);
        }
        assertSame(attempt, request.attemptInFlight(4));
        assertNull(request.attemptInFlight(5));
        assertNull(request.attemptInFlight(-1));
        attempt.markEnded();
        assertNull(request.attemptInFlight(4));
        assertTrue(request.tried(first));
        assertFalse(request.tried(sameZone));
    }
}
