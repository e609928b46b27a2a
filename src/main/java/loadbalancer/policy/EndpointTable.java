package loadbalancer.policy;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The endpoints that this sidecar knows: those on the list, and those that left it with attempts still in flight. */
final class EndpointTable {
    private final RankHash rankHash;
    private final int classCount;
    private final Map<String, EndpointState> endpoints = new LinkedHashMap<>();

    EndpointTable(RankHash rankHash, int classCount) {
        this.rankHash = rankHash;
        this.classCount = classCount;
    }

    /** The endpoint with this id, or null. */
    EndpointState find(String id) {
        return endpoints.get(id);
    }

    int size() {
        return endpoints.size();
    }

    /**
     * Takes in a list, or changes to it.
     *
     * @param complete true if what the list does not name has left it
     */
    void update(double nowMillis, boolean complete, List<Endpoint> entries) {
        if (complete) {
            for (EndpointState endpoint : endpoints.values()) {
                endpoint.markUnlisted();
            }
        }
        for (Endpoint entry : entries) {
            update(nowMillis, entry);
        }
        endpoints.values().removeIf(EndpointState::forgettable);
    }

    private void update(double nowMillis, Endpoint entry) {
        EndpointState known = endpoints.get(entry.id());
        if (known == null) {
            long rank = rankHash.rank(entry.id());
            endpoints.put(entry.id(), new EndpointState(entry, rank, classCount, nowMillis));
        } else {
            known.update(entry, nowMillis);
        }
    }

    /** Drops an endpoint that left the list, once its last attempt has ended; nothing piles up over deployments. */
    void forgetIfUnused(EndpointState endpoint) {
        if (endpoint.forgettable()) {
            endpoints.remove(endpoint.id());
        }
    }

    /** The endpoints that take requests. */
    List<EndpointState> ready() {
        List<EndpointState> ready = new ArrayList<>();
        for (EndpointState endpoint : endpoints.values()) {
            if (endpoint.ready()) {
                ready.add(endpoint);
            }
        }
        return ready;
    }
}
