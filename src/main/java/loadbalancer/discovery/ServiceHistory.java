package loadbalancer.discovery;

import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import loadbalancer.policy.Endpoint;
import loadbalancer.policy.EndpointStatus;

/**
 * What one discovery service has told this process: its newest version, and which endpoints it names as ready. Times
 * are in milliseconds.
 */
final class ServiceHistory {
    private final int number;
    /** The start times, as reported, of the endpoints that it names as ready. */
    private final Map<String, Double> ready = new HashMap<>();

    private long newestVersion = Long.MIN_VALUE;
    private double newestCameMillis = Double.NEGATIVE_INFINITY;

    /** A service that has told nothing, with a number that no other one has. */
    ServiceHistory(int number) {
        this.number = number;
    }

    int number() {
        return number;
    }

    /** Returns true if the service has told a newer list than this one. */
    boolean hasNewerThan(EndpointList list) {
        return list.version() < newestVersion;
    }

    /**
     * Returns true if the versions go back: a call that began after a newer list had come brought this one.
     *
     * @param callBegunMillis when the call began that brought the list
     */
    boolean countsAnew(EndpointList list, double callBegunMillis) {
        return hasNewerThan(list) && callBegunMillis > newestCameMillis;
    }

    /** Returns the start of an endpoint that it has told last; what the entry says if it has not named it as ready. */
    double lastNamedStartMillis(Endpoint endpoint) {
        return Math.max(endpoint.startedAtMillis(), ready.getOrDefault(endpoint.id(), endpoint.startedAtMillis()));
    }

    /** Returns the start times of the endpoints that it names as ready. */
    Map<String, Double> ready() {
        return Collections.unmodifiableMap(ready);
    }

    /** Remembers its newest list. */
    void remember(EndpointList list, double nowMillis) {
        newestVersion = list.version();
        newestCameMillis = nowMillis;
        if (list.snapshot()) {
            ready.clear();
        }
        for (EndpointList.Entry entry : list.entries()) {
            Endpoint endpoint = entry.endpoint();
            if (endpoint.status() == EndpointStatus.READY) {
                ready.put(endpoint.id(), endpoint.startedAtMillis());
            } else {
                ready.remove(endpoint.id());
            }
        }
    }
}
