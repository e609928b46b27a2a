package loadbalancer.policy;

import java.util.List;
import java.util.stream.IntStream;

/** Entries of an endpoint list; each is in zone "z" and cell 0, of weight 1 and started long ago unless said. */
final class Endpoints {
    private Endpoints() {}

    static Endpoint ready(String id) {
        return entry(id, EndpointStatus.READY);
    }

    static Endpoint draining(String id) {
        return entry(id, EndpointStatus.DRAINING);
    }

    static Endpoint removed(String id) {
        return entry(id, EndpointStatus.REMOVED);
    }

    static Endpoint startedAt(String id, double startedAtMillis) {
        return new Endpoint(id, EndpointStatus.READY, 1, "z", 0, startedAtMillis);
    }

    static Endpoint withCapacityWeight(String id, double capacityWeight) {
        return new Endpoint(id, EndpointStatus.READY, capacityWeight, "z", 0, 0);
    }

    static Endpoint inZone(String id, String zone) {
        return new Endpoint(id, EndpointStatus.READY, 1, zone, 0, 0);
    }

    static Endpoint inCell(String id, int cell) {
        return new Endpoint(id, EndpointStatus.READY, 1, "z", cell, 0);
    }

    /** Ready endpoints s0, s1 and so on. */
    static List<Endpoint> fleet(int count) {
        return IntStream.range(0, count).mapToObj(i -> ready("s" + i)).toList();
    }

    /** The number in an id such as s12. */
    static int number(String id) {
        return Integer.parseInt(id.substring(1));
    }

    private static Endpoint entry(String id, EndpointStatus status) {
        return new Endpoint(id, status, 1, "z", 0, 0);
    }
}
