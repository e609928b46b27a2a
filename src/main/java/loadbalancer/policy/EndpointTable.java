package loadbalancer.policy;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The endpoints that this sidecar knows: those on the list, and those that left it with attempts still in flight. */
final class EndpointTable {
    private final RankHash rankHash;
    private final int classCount;
    private final Map<String, EndpointState> endpoints = new LinkedHashMap<>();
    private final ReadyEndpoints ready = new ReadyEndpoints();

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
     * Takes in a list, or changes to it. Changes cost time by their own number, whatever else is listed.
     *
     * @param complete true if what the list does not name has left it
     */
    void update(double nowMillis, boolean complete, List<Endpoint> entries) {
        if (complete) {
            endpoints.values().forEach(EndpointState::markUnlisted);
            ready.clear();
        }
        for (Endpoint entry : entries) {
            update(nowMillis, entry);
        }
        if (complete) {
            endpoints.values().removeIf(EndpointState::forgettable);
        } else {
            entries.forEach(this::forgetIfUnused);
        }
    }

    private void update(double nowMillis, Endpoint entry) {
        EndpointState endpoint = endpoints.get(entry.id());
        if (endpoint == null) {
            endpoint = new EndpointState(entry, rankHash.rank(entry.id()), classCount, nowMillis);
            endpoints.put(entry.id(), endpoint);
        } else {
            endpoint.update(entry, nowMillis);
        }
        ready.update(endpoint);
    }

    // The list may name an endpoint twice.
    private void forgetIfUnused(Endpoint entry) {
        EndpointState endpoint = endpoints.get(entry.id());
        if (endpoint != null) {
            forgetIfUnused(endpoint);
        }
    }

    /** Drops an endpoint that left the list, once its last attempt has ended; nothing piles up over deployments. */
    void forgetIfUnused(EndpointState endpoint) {
        if (endpoint.forgettable()) {
            endpoints.remove(endpoint.id());
        }
    }

    /** The endpoints that take requests, as of the last update. */
    ReadyEndpoints ready() {
        return ready;
    }
}
