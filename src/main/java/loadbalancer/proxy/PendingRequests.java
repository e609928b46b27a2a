package loadbalancer.proxy;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The requests that are not completed or have attempts in flight, by the policy's number and by the client's id. */
final class PendingRequests {
    private final Map<Long, PendingRequest> byNumber = new HashMap<>();
    private final Set<String> clientIds = new HashSet<>();

    /** Adds a request, whose client's id is not in flight. */
    void add(PendingRequest pending) {
        byNumber.put(pending.policyRequest().id(), pending);
        clientIds.add(pending.clientId());
    }

    /** Removes a request, unless it was removed before: its client's id may be another request's by now. */
    void remove(PendingRequest pending) {
        if (byNumber.remove(pending.policyRequest().id()) != null) {
            clientIds.remove(pending.clientId());
            pending.releaseMemory();
        }
    }

    /** Returns the request with this number, or null if it is not pending. */
    PendingRequest get(long number) {
        return byNumber.get(number);
    }

    /** Returns true if a pending request has this client's id. */
    boolean containsClientId(String id) {
        return clientIds.contains(id);
    }

    /** Returns the requests that are pending now, in a list that later changes don't affect. */
    List<PendingRequest> snapshot() {
        return List.copyOf(byNumber.values());
    }

    /** Returns the number of pending requests. */
    int size() {
        return byNumber.size();
    }
}
