package loadbalancer.policy;

import java.util.Iterator;
import java.util.TreeSet;

/**
 * The endpoints that take requests, in this sidecar's order of preference: the lowest rank first. A change costs time
 * that grows with the logarithm of their number, so that a change of one endpoint does not sort all of them.
 */
final class ReadyEndpoints {
    private final TreeSet<EndpointState> byRank = new TreeSet<>(ReadyEndpoints::compareByRank);

    // The rank and the identifier of an endpoint never change.
    private static int compareByRank(EndpointState first, EndpointState second) {
        return first.rank() != second.rank()
                ? Long.compare(first.rank(), second.rank())
                : first.id().compareTo(second.id());
    }

    /** Takes in the endpoint if it is ready, and else leaves it out. */
    void update(EndpointState endpoint) {
        if (endpoint.ready()) {
            byRank.add(endpoint);
        } else {
            byRank.remove(endpoint);
        }
    }

    /** Leaves out all endpoints. */
    void clear() {
        byRank.clear();
    }

    int size() {
        return byRank.size();
    }

    /** Returns as many endpoints as there are up to this number, the lowest rank first, in an array of their own. */
    EndpointState[] first(int count) {
        EndpointState[] endpoints = new EndpointState[Math.min(count, byRank.size())];
        Iterator<EndpointState> iterator = byRank.iterator();
        for (int i = 0; i < endpoints.length; i++) {
            endpoints[i] = iterator.next();
        }
        return endpoints;
    }
}
