package loadbalancer.policy;

/**
 * An entry of the endpoint list.
 *
 * @param id its name, the same at every sidecar and after a restart of its process
 * @param capacityWeight its size compared with the others
 * @param cell the number of its cell, or -1
 * @param startedAtMillis start of its process on the policy's clock; 0, or less than the clock's start, means long ago
 */
public record Endpoint(
        String id, EndpointStatus status, double capacityWeight, String zone, int cell, double startedAtMillis) {
    /** The same endpoint with this start of its process, in milliseconds on the policy's clock. */
    public Endpoint withStartedAt(double millis) {
        return millis == startedAtMillis ? this : new Endpoint(id, status, capacityWeight, zone, cell, millis);
    }

    /** The same endpoint with this status. */
    public Endpoint withStatus(EndpointStatus newStatus) {
        return new Endpoint(id, newStatus, capacityWeight, zone, cell, startedAtMillis);
    }
}
