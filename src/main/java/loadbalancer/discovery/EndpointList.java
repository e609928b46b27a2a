package loadbalancer.discovery;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.policy.Endpoint;
import loadbalancer.policy.EndpointStatus;

/**
 * A list of endpoints from the discovery service.
 *
 * @param version the service's version of the list
 * @param snapshot true if the entries are all endpoints, false if they are those that changed
 * @param entries the endpoints
 */
public record EndpointList(long version, boolean snapshot, List<Entry> entries) {
    /** A list that does not change with the one that it was made from. */
    public EndpointList {
        entries = List.copyOf(entries);
    }

    /**
     * An endpoint and where to connect to it.
     *
     * @param endpoint the endpoint, with its start in Unix time
     * @param address its address, or null if it has been removed
     */
    public record Entry(Endpoint endpoint, SocketAddress address) {
        /** Returns an endpoint that has been removed, of which nothing else is known. */
        static Entry removed(String id, double startedAtMillis) {
            return new Entry(
                    new Endpoint(id, EndpointStatus.REMOVED, DEFAULT_CAPACITY_WEIGHT, "", NO_CELL, startedAtMillis),
                    null);
        }

        /** Returns the same endpoint as one that drains. */
        Entry draining() {
            return new Entry(endpoint.withStatus(EndpointStatus.DRAINING), address);
        }
    }

    private static final double DEFAULT_CAPACITY_WEIGHT = 1;
    private static final int NO_CELL = -1;
    /** A start in Unix time that stands for long ago. */
    private static final double UNKNOWN_START_MILLIS = 0;

    /**
     * Parses a list in the discovery service's JSON form. A list with a malformed entry is rejected completely: a
     * partial list could hide that an endpoint drains.
     *
     * @throws EndpointListException if a field is missing or malformed
     */
    public static EndpointList parse(JsonNode json) throws EndpointListException {
        JsonNode version = json.path("seq");
        JsonNode snapshot = json.path("whole");
        JsonNode hosts = json.path("hosts");
        if (!version.canConvertToLong() || !snapshot.isBoolean() || !hosts.isArray()) {
            throw new EndpointListException("seq, whole or hosts is missing or malformed");
        }
        List<Entry> entries = new ArrayList<>();
        for (JsonNode host : hosts) {
            entries.add(parseEntry(host));
        }
        return new EndpointList(version.asLong(), snapshot.asBoolean(), entries);
    }

    private static Entry parseEntry(JsonNode host) throws EndpointListException {
        String id = host.path("host").asText();
        if (!host.path("host").isTextual() || id.isEmpty()) {
            throw new EndpointListException("host is missing or malformed");
        }
        EndpointStatus status = parseStatus(host, id);
        double startedAtMillis = parseNumber(host, "born_ms", UNKNOWN_START_MILLIS);
        double capacityWeight = parseNumber(host, "share", DEFAULT_CAPACITY_WEIGHT);
        String zone = host.path("site").asText();
        int cell = host.path("block").asInt(NO_CELL);
        Endpoint endpoint = new Endpoint(id, status, capacityWeight, zone, cell, startedAtMillis);
        // A removed endpoint needs no address, and a list must not be rejected because of one.
        boolean removed = status == EndpointStatus.REMOVED;
        return new Entry(
                endpoint, removed ? null : parseAddress(host.path("dial").asText()));
    }

    private static EndpointStatus parseStatus(JsonNode host, String id) throws EndpointListException {
        return switch (host.path("health").asText()) {
            case "ready" -> EndpointStatus.READY;
            case "draining" -> EndpointStatus.DRAINING;
            case "gone" -> EndpointStatus.REMOVED;
            default -> throw new EndpointListException("health of " + id + " is unknown");
        };
    }

    private static double parseNumber(JsonNode host, String field, double defaultValue) throws EndpointListException {
        JsonNode value = host.path(field);
        if (value.isMissingNode() || value.isNull()) {
            return defaultValue;
        }
        if (!value.isNumber() || value.asDouble() < 0) {
            throw new EndpointListException(field + " is malformed");
        }
        return value.asDouble();
    }

    private static InetSocketAddress parseAddress(String text) throws EndpointListException {
        try {
            return SocketAddresses.parse(text);
        } catch (IllegalArgumentException e) {
            throw new EndpointListException(e.getMessage(), e);
        }
    }
}
