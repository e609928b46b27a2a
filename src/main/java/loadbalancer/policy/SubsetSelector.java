package loadbalancer.policy;

/**
 * The subset of the endpoints to which this sidecar forwards: the first ones by rank, as many as its traffic needs.
 *
 * <p>In a large fleet a wide subset costs connections at every endpoint, and leaves a light sidecar no evidence on any
 * one of them.
 */
final class SubsetSelector {
    /** The smallest subset. */
    private static final int MIN_SIZE = 3;

    /** Connections to an endpoint that all sidecars together may open beyond what healthy traffic needs. */
    private static final double FREE_CONNECTIONS_PER_ENDPOINT = 12;

    /** Subset size without traffic, as far as those connections last. */
    private static final double FREE_SIZE = 8;

    /** Endpoints for each attempt in flight, as far as those connections last. */
    private static final double FREE_SIZE_PER_IN_FLIGHT = 2;

    /** Weight of a period in the averages by which the subset is sized, while they rise. */
    private static final double RISE_WEIGHT = 0.2;

    /** The same while they fall, so that the subset shrinks slowly. */
    private static final double FALL_WEIGHT = 0.01;

    private static final EndpointState[] NO_ENDPOINTS = new EndpointState[0];

    private final int sidecarCount;
    private final double periodMillis;
    /** Those from which the subset was picked last. */
    private ReadyEndpoints ready = new ReadyEndpoints();
    /** The same in the order in which the last walk over all left them; null until the first walk after a change. */
    private EndpointState[] walkedReady;

    private EndpointState[] ranked = NO_ENDPOINTS;
    private EndpointState[] shuffled = NO_ENDPOINTS;
    private int size = MIN_SIZE;
    /** Averages of the attempts in flight that the traffic needs when all is healthy, and of those that there are. */
    private double healthyInFlight;

    private double inFlight;

    SubsetSelector(int sidecarCount, double periodMillis) {
        this.sidecarCount = Math.max(1, sidecarCount);
        this.periodMillis = periodMillis;
    }

    /** The subset by rank; not to be changed. */
    EndpointState[] ranked() {
        return ranked;
    }

    /** The subset in the order in which the last walk left it; a walk may reorder it. */
    EndpointState[] shuffled() {
        return shuffled;
    }

    /** Every endpoint that the list calls ready; a walk may reorder them. */
    EndpointState[] ready() {
        if (walkedReady == null) {
            walkedReady = ready.first(ready.size());
        }
        return walkedReady;
    }

    /** Ready endpoints for each place in the subsets of the fleet. */
    double endpointsPerPlace() {
        return ready.size() / (Math.max(1.0, ranked.length) * sidecarCount);
    }

    /** Picks the subset anew, at a cost by its own size and not by the number of endpoints that take requests. */
    void select(double nowMillis, ReadyEndpoints endpoints) {
        ready = endpoints;
        walkedReady = null;
        for (EndpointState endpoint : ranked) {
            endpoint.leftSubsetAt(nowMillis);
        }
        size = wantedSize();
        ranked = endpoints.first(size);
        shuffled = ranked.clone();
        for (EndpointState endpoint : ranked) {
            endpoint.drop().recoverIdlePeriods((nowMillis - endpoint.leftSubsetAtMillis()) / periodMillis);
        }
        updateRelativeSizes();
    }

    /**
     * Takes a period's attempts in flight into the averages.
     *
     * @param healthy what would be in flight, at the rate that the subset answers, if it were healthy
     * @param active what is in flight and not stalled
     */
    void endPeriod(double healthy, int active) {
        healthyInFlight += (healthy - healthyInFlight) * (healthy > healthyInFlight ? RISE_WEIGHT : FALL_WEIGHT);
        inFlight += (active - inFlight) * (active > inFlight ? RISE_WEIGHT : FALL_WEIGHT);
    }

    /** True if the subset is to be picked anew because the traffic has changed; a size one too large is kept. */
    boolean sizeOutdated() {
        int wanted = wantedSize();
        return wanted > size || wanted < size - 1;
    }

    /**
     * As many endpoints as the traffic has attempts in flight when healthy. What is in flight now counts only while
     * there are connections to spare: in a large fleet an overload would widen every subset, and the wider subsets
     * would keep up the overload.
     */
    private int wantedSize() {
        double connections = ready.size() * FREE_CONNECTIONS_PER_ENDPOINT / sidecarCount;
        double free = Math.min(connections, Math.max(FREE_SIZE, FREE_SIZE_PER_IN_FLIGHT * inFlight));
        return (int) Math.ceil(Math.max(healthyInFlight, Math.max(MIN_SIZE, free)));
    }

    /** Compares each endpoint's capacity with the largest of the subset: by load reports, else by the list. */
    void updateRelativeSizes() {
        double maxWeight = 0;
        double maxCapacity = 0;
        for (EndpointState endpoint : ranked) {
            maxWeight = Math.max(maxWeight, endpoint.entry().capacityWeight());
            maxCapacity = Math.max(maxCapacity, endpoint.reportedLoad().capacityPerSecond());
        }
        for (EndpointState endpoint : ranked) {
            double capacity = endpoint.reportedLoad().capacityPerSecond();
            if (capacity > 0) {
                endpoint.setRelativeSize(capacity / maxCapacity);
            } else {
                endpoint.setRelativeSize(maxWeight > 0 ? endpoint.entry().capacityWeight() / maxWeight : 1);
            }
        }
    }
}
