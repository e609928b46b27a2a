package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Which endpoints are known and ready, and what a restart clears. */
class EndpointTableTest {
    private final EndpointTable table = new EndpointTable(new RankHash(1), 1);

    private void snapshot(Endpoint... entries) {
        table.update(1000, true, List.of(entries));
    }

    private void delta(Endpoint... entries) {
        table.update(1000, false, List.of(entries));
    }

    private List<String> readyIds() {
        return table.ready().stream().map(EndpointState::id).toList();
    }

    @Test
    void snapshotReplacesAndDeltaAdds() {
        snapshot(Endpoints.ready("s0"), Endpoints.ready("s1"));
        delta(Endpoints.ready("s2"));
        assertEquals(List.of("s0", "s1", "s2"), readyIds());
        snapshot(Endpoints.ready("s1"));
        assertEquals(List.of("s1"), readyIds());
        assertEquals(1, table.size());
    }

    @Test
    void drainingEndpointIsKnownButNotReady() {
        snapshot(Endpoints.ready("s0"), Endpoints.draining("s1"));
        assertEquals(List.of("s0"), readyIds());
        assertNotNull(table.find("s1"));
        delta(Endpoints.removed("s1"));
        assertNull(table.find("s1"));
    }

    @Test
    void keepsRemovedEndpointUntilItsLastAttemptEnds() {
        snapshot(Endpoints.ready("s0"));
        EndpointState endpoint = table.find("s0");
        AttemptState attempt = PolicyStates.startAttempt(endpoint, 1000);
        snapshot();
        assertSame(endpoint, table.find("s0"));
        assertEquals(List.of(), readyIds());
        endpoint.attemptEnded(attempt);
        table.forgetIfUnused(endpoint);
        assertEquals(0, table.size());
    }

    @Test
    void restartClearsWhatWasLearned() {
        snapshot(Endpoints.startedAt("s0", 100));
        EndpointState endpoint = table.find("s0");
        endpoint.drop().dropAll();
        PolicyStates.eject(endpoint);
        endpoint.slowStartTokens().refill(1000, 1, 1);
        delta(Endpoints.startedAt("s0", 900));
        assertSame(endpoint, table.find("s0"));
        assertEquals(900, endpoint.processStartMillis());
        assertEquals(0, endpoint.drop().dropFraction());
        assertFalse(endpoint.outlier().ejected());
        assertFalse(endpoint.slowStartTokens().hasToken());
    }

    @Test
    void olderStartTimeIsIgnored() {
        snapshot(Endpoints.startedAt("s0", 900));
        EndpointState endpoint = table.find("s0");
        endpoint.drop().dropAll();
        delta(Endpoints.startedAt("s0", 100));
        assertEquals(900, endpoint.processStartMillis());
        assertEquals(1, endpoint.drop().dropFraction());
        assertTrue(endpoint.ready());
    }
}
