package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Which endpoints are known and ready, and what a restart clears. */
class EndpointTableTest {
    private final RankHash ranks = new RankHash(1);
    private final EndpointTable table = new EndpointTable(ranks, 1);

    private void snapshot(Endpoint... entries) {
        table.update(1000, true, List.of(entries));
    }

    private void delta(Endpoint... entries) {
        table.update(1000, false, List.of(entries));
    }

    private List<String> readyIds() {
        return Arrays.stream(table.ready().first(Integer.MAX_VALUE))
                .map(EndpointState::id)
                .toList();
    }

    private List<String> byRank(String... ids) {
        return Arrays.stream(ids).sorted(Comparator.comparingLong(ranks::rank)).toList();
    }

    @Test
    void snapshotReplacesAndDeltaAdds() {
        snapshot(Endpoints.ready("s0"), Endpoints.ready("s1"));
        delta(Endpoints.ready("s2"));
        assertEquals(byRank("s0", "s1", "s2"), readyIds());
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

    // Guards against a sequence of changes after which other endpoints take requests than by the whole list.
    @Test
    void changesLeaveSameReadyEndpointsAsWholeList() {
        Random random = new Random(7);
        Map<String, Endpoint> listed = new HashMap<>();
        for (int i = 0; i < 3000; i++) {
            Endpoint[] changes = new Endpoint[1 + random.nextInt(4)];
            for (int j = 0; j < changes.length; j++) {
                String id = "s" + random.nextInt(40);
                EndpointStatus status = EndpointStatus.values()[random.nextInt(3)];
                changes[j] = new Endpoint(id, status, 1, "z", 0, random.nextInt(3));
                listed.put(id, changes[j]);
            }
            delta(changes);
            String[] ready = listed.values().stream()
                    .filter(endpoint -> endpoint.status() == EndpointStatus.READY)
                    .map(Endpoint::id)
                    .toArray(String[]::new);
            assertEquals(byRank(ready), readyIds());
            listed.values().removeIf(endpoint -> endpoint.status() == EndpointStatus.REMOVED);
            assertEquals(listed.size(), table.size());
        }
    }

    @Test
    void laterEntryOfSameEndpointHolds() {
        snapshot(Endpoints.ready("s0"), Endpoints.ready("s1"));
        EndpointState endpoint = table.find("s0");
        delta(Endpoints.draining("s0"), Endpoints.removed("s0"), Endpoints.startedAt("s0", 900));
        assertSame(endpoint, table.find("s0"));
        assertEquals(byRank("s0", "s1"), readyIds());
        assertEquals(900, endpoint.processStartMillis());
        delta(Endpoints.ready("s1"), Endpoints.removed("s1"));
        assertNull(table.find("s1"));
        assertEquals(List.of("s0"), readyIds());
    }
}
