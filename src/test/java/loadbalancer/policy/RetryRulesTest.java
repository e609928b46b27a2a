package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What each idempotency and deduplication scope allows. */
class RetryRulesTest {
    private static final double WINDOW_MILLIS = 5000;

    private static RequestClass requestClass(Idempotency idempotency, DeduplicationScope scope) {
        return new RequestClass("class", 1, 0, 500, 2000, idempotency, scope, WINDOW_MILLIS, false);
    }

    @ParameterizedTest
    @CsvSource({
        "IDEMPOTENT,     ALL,  true",
        "IDEMPOTENT,     ZONE, true",
        "IDEMPOTENT,     CELL, true",
        "WITH_KEY,       ALL,  true",
        "WITH_KEY,       ZONE, false",
        "WITH_KEY,       CELL, false",
        "NOT_IDEMPOTENT, ALL,  false",
        "NOT_IDEMPOTENT, ZONE, false",
        "NOT_IDEMPOTENT, CELL, false"
    })
    void clientMayRetryWhereverItsRepeatIsHarmless(
            Idempotency idempotency, DeduplicationScope scope, boolean expected) {
        assertEquals(expected, RetryRules.clientMayRetry(requestClass(idempotency, scope)));
    }

    @ParameterizedTest
    @CsvSource({
        "IDEMPOTENT,     0,      true",
        "IDEMPOTENT,     100000, true",
        "WITH_KEY,       0,      true",
        "WITH_KEY,       4999,   true",
        "WITH_KEY,       5000,   false",
        "NOT_IDEMPOTENT, 0,      false"
    })
    void repeatsKeyedRequestWithinItsWindowOnly(Idempotency idempotency, double ageMillis, boolean expected) {
        RequestClass requestClass = requestClass(idempotency, DeduplicationScope.ALL);
        assertEquals(expected, RetryRules.mayRepeat(requestClass, 1000, 1000 + ageMillis));
    }

    @ParameterizedTest
    @CsvSource({
        "IDEMPOTENT,     CELL, false, false, true",
        "NOT_IDEMPOTENT, ALL,  true,  true,  false",
        "WITH_KEY,       ALL,  false, false, true",
        "WITH_KEY,       ZONE, true,  false, true",
        "WITH_KEY,       ZONE, false, true,  false",
        "WITH_KEY,       CELL, false, true,  true",
        "WITH_KEY,       CELL, true,  false, false"
    })
    void sharesDeduplicationWithinScope(
            Idempotency idempotency, DeduplicationScope scope, boolean sameZone, boolean sameCell, boolean expected) {
        Endpoint first = new Endpoint("s0", EndpointStatus.READY, 1, "zone", 1, 0);
        Endpoint second = new Endpoint("s1", EndpointStatus.READY, 1, sameZone ? "zone" : "other", sameCell ? 1 : 2, 0);
        assertEquals(expected, RetryRules.shareDeduplication(requestClass(idempotency, scope), first, second));
    }

    @Test
    void windowBeginsWhenTheAttemptWasSent() {
        RequestClass keyed = requestClass(Idempotency.WITH_KEY, DeduplicationScope.ZONE);
        assertEquals(true, RetryRules.mayRepeat(keyed, 3000, 7999));
        assertEquals(false, RetryRules.mayRepeat(keyed, 2000, 7999));
    }

    @ParameterizedTest
    @CsvSource({
        "IDEMPOTENT,     ZONE, true,  false",
        "WITH_KEY,       ALL,  true,  false",
        "WITH_KEY,       ZONE, true,  true",
        "WITH_KEY,       CELL, true,  true",
        "NOT_IDEMPOTENT, CELL, false, false"
    })
    void repeatsAreBoundToScopeOnlyWithKey(
            Idempotency idempotency, DeduplicationScope scope, boolean mayEverRepeat, boolean boundToScope) {
        RequestClass requestClass = requestClass(idempotency, scope);
        assertEquals(mayEverRepeat, RetryRules.mayEverRepeat(requestClass));
        assertEquals(boundToScope, RetryRules.boundToScope(requestClass));
    }
}
