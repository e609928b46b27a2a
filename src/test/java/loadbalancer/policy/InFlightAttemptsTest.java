package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Which attempts in flight count as overtaken, as stalled and as late. */
class InFlightAttemptsTest {
    private final InFlightAttempts inFlight = new InFlightAttempts();
    private final EndpointState endpoint = PolicyStates.readyEndpoint("s0");
    /** The usual latency is 150 ms at first, and a response is fully late from 750 ms on. */
    private final LatencyBaseline latencies = new LatencyBaseline(List.of(RequestClasses.HIGH_PRIORITY));

    private AttemptState add(double sentAtMillis) {
        AttemptState attempt =
                PolicyStates.request(RequestClasses.HIGH_PRIORITY, sentAtMillis).addAttempt(endpoint, sentAtMillis);
        inFlight.add(attempt);
        return attempt;
    }

    private void answer(AttemptState attempt, double nowMillis, double durationMillis) {
        inFlight.markOvertakenBy(attempt, nowMillis, durationMillis);
        inFlight.remove(attempt);
    }

    @Test
    void countsAttemptsRemovedInAnyOrder() {
        AttemptState oldest = add(0);
        AttemptState middle = add(1);
        AttemptState newest = add(2);
        assertEquals(3, inFlight.count());
        inFlight.remove(middle);
        assertFalse(middle.inFlight());
        inFlight.remove(newest);
        AttemptState last = add(3);
        inFlight.remove(oldest);
        assertEquals(1, inFlight.count());
        assertFalse(inFlight.isEmpty());
        inFlight.remove(last);
        assertTrue(inFlight.isEmpty());
        assertEquals(0, inFlight.count());
    }

    @Test
    void stallsAfterTwoFastOvertakes() {
        // Answers within 50 ms are fast for an attempt that has waited 167 ms.
        AttemptState old = add(0);
        AttemptState first = add(100);
        AttemptState second = add(110);
        answer(first, 200, 50);
        assertEquals(2, inFlight.activeCount());
        answer(second, 210, 50);
        assertEquals(1, inFlight.count());
        assertEquals(0, inFlight.activeCount());
        inFlight.remove(old);
        assertEquals(0, inFlight.activeCount());
    }

    @Test
    void doesNotStallAfterSlowOvertakes() {
        // Answers of 70 ms are fast from a wait of 233 ms on.
        AttemptState old = add(0);
        AttemptState first = add(100);
        AttemptState second = add(110);
        answer(first, 200, 70);
        answer(second, 210, 70);
        assertTrue(old.overtaken());
        assertEquals(1, inFlight.activeCount());
    }

    @Test
    void marksOnlyOlderAttemptsAsOvertaken() {
        AttemptState older = add(0);
        AttemptState answered = add(1);
        AttemptState newer = add(2);
        answer(answered, 100, 99);
        assertTrue(older.overtaken());
        assertFalse(newer.overtaken());
    }

    @Test
    void countsLatenessOfAttemptsNotOvertaken() {
        add(0);
        AttemptState answered = add(300);
        add(400);
        add(800);
        OutcomeEvidence before = inFlight.latenessEvidence(850, latencies);
        // Waits of 850, 550 and 450 ms are late by 1, 2/3 and 1/2; one of 50 ms is not late.
        assertEquals(3, before.totalWeight());
        assertEquals(1 + 2.0 / 3 + 0.5, before.rejectedWeight(), 1e-9);
        answer(answered, 850, 550);
        OutcomeEvidence after = inFlight.latenessEvidence(850, latencies);
        assertEquals(1, after.totalWeight());
        assertEquals(0.5, after.rejectedWeight(), 1e-9);
    }

    @Test
    void examinesSixtyFourOldestAttempts() {
        for (int i = 0; i < 100; i++) {
            add(0);
        }
        assertEquals(64, inFlight.latenessEvidence(10_000, latencies).totalWeight());
    }
}
