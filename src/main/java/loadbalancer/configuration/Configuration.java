package loadbalancer.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import loadbalancer.discovery.EndpointList;
import loadbalancer.policy.PolicySettings;

/**
 * Everything a sidecar is told at start.
 *
 * @param lastKnownList the endpoints as last known, perhaps out of date; null if there is no such list
 * @param connectTimeoutMillis milliseconds after which a connection that is not up has failed
 * @param endpointIdleMillis milliseconds after which an endpoint closes an idle connection
 * @param maxDescriptors file descriptors that the process may hold
 */
public record Configuration(
        InetSocketAddress listenAddress,
        InetSocketAddress discoveryAddress,
        long seed,
        PolicySettings settings,
        EndpointList lastKnownList,
        int connectTimeoutMillis,
        double endpointIdleMillis,
        int maxDescriptors) {

    private static final int HEX = 16;

    /**
     * Reads the configuration from a file.
     *
     * @throws ConfigurationException with one line that says what is missing or malformed
     */
    public static Configuration read(String path, ObjectMapper mapper) throws ConfigurationException {
        try {
            return parse(Files.readString(Path.of(path)), mapper);
        } catch (IOException | InvalidPathException e) {
            throw new ConfigurationException(path, "cannot be read", e);
        }
    }

    /**
     * Reads the configuration.
     *
     * @throws ConfigurationException with one line that says what is missing or malformed
     */
    public static Configuration parse(String text, ObjectMapper mapper) throws ConfigurationException {
        JsonNode json;
        try {
            json = mapper.readTree(text);
        } catch (JsonProcessingException e) {
            throw new ConfigurationException("file", "is not JSON: " + e.getOriginalMessage(), e);
        }
        Map<String, String> pairs = new HashMap<>();
        flatten("", json.path("settings"), pairs);
        JsonNode limits = json.path("settings").path("limits");
        JsonNode known = json.path("known");
        return new Configuration(
                address(json, "listen"),
                address(json, "discovery"),
                seed(json.path("seed").asText()),
                new SettingsReader(pairs).settings(),
                known.isObject() ? knownEndpoints(known) : null,
                (int) positive(limits, "connect_timeout"),
                positive(limits, "conn_idle"),
                (int) positive(json.path("limits"), "sockets"));
    }

    private static InetSocketAddress address(JsonNode json, String field) throws ConfigurationException {
        try {
            return EndpointList.address(json.path(field).asText());
        } catch (IllegalArgumentException e) {
            throw new ConfigurationException(field, e.getMessage(), e);
        }
    }

    private static EndpointList knownEndpoints(JsonNode known) throws ConfigurationException {
        try {
            return EndpointList.parse(known);
        } catch (IllegalArgumentException e) {
            throw new ConfigurationException("known", e.getMessage(), e);
        }
    }

    private static long seed(String text) throws ConfigurationException {
        try {
            return Long.parseUnsignedLong(text, HEX);
        } catch (NumberFormatException e) {
            throw new ConfigurationException("seed", "'" + text + "' is not a hexadecimal number", e);
        }
    }

    private static double positive(JsonNode limits, String field) throws ConfigurationException {
        double value = limits.path(field).asDouble();
        if (!(value >= 1 && value <= Integer.MAX_VALUE)) {
            throw new ConfigurationException("limits." + field, "is missing or out of range");
        }
        return value;
    }

    /**
     * Nested JSON to the simulator's paths, by its rules: a list of objects has a count and numbered items.
     */
    private static void flatten(String path, JsonNode node, Map<String, String> pairs) {
        if (node.isObject()) {
            node.properties()
                    .forEach(e -> flatten(path.isEmpty() ? e.getKey() : path + "." + e.getKey(), e.getValue(), pairs));
        } else if (node.isArray()) {
            pairs.put(path + ".count", Integer.toString(node.size()));
            for (int i = 0; i < node.size(); i++) {
                flatten(path + "." + i, node.get(i), pairs);
            }
        } else if (!node.isNull() && !node.isMissingNode()) {
            pairs.put(path, node.asText());
        }
    }
}
