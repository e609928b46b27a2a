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
import loadbalancer.discovery.EndpointListException;
import loadbalancer.discovery.SocketAddresses;
import loadbalancer.policy.PolicySettings;

/**
 * The configuration of a sidecar, as read at start.
 *
 * @param listenAddress the address on which the application connects
 * @param discoveryAddress the address of the discovery service
 * @param seed seed of this sidecar's random draws
 * @param settings the settings of the balancing policy
 * @param lastKnownList the endpoints as last known, perhaps out of date; null if there is no such list
 * @param connectTimeoutMillis milliseconds after which an attempt to connect to an endpoint has failed
 * @param endpointIdleMillis milliseconds after which an endpoint closes an idle connection
 * @param maxDescriptors file descriptors that the process may have open
 * @param memoryMegabytes memory that the process may take before it is killed
 */
public record Configuration(
        InetSocketAddress listenAddress,
        InetSocketAddress discoveryAddress,
        long seed,
        PolicySettings settings,
        EndpointList lastKnownList,
        int connectTimeoutMillis,
        double endpointIdleMillis,
        int maxDescriptors,
        int memoryMegabytes) {

    private static final int SEED_RADIX = 16;

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
     * Parses the configuration.
     *
     * @throws ConfigurationException with one line that says what is missing or malformed
     */
    public static Configuration parse(String text, ObjectMapper mapper) throws ConfigurationException {
        JsonNode json = parseJson(text, mapper);
        JsonNode settings = json.path("settings");
        JsonNode settingsLimits = settings.path("limits");
        Map<String, String> settingsByPath = new HashMap<>();
        flatten("", settings, settingsByPath);
        return new Configuration(
                parseAddress(json, "listen"),
                parseAddress(json, "discovery"),
                parseSeed(json.path("seed").asText()),
                new SettingsReader(settingsByPath).settings(),
                parseLastKnownList(json.path("known")),
                (int) parseLimit(settingsLimits, "connect_timeout"),
                parseLimit(settingsLimits, "conn_idle"),
                (int) parseLimit(json.path("limits"), "sockets"),
                (int) parseLimit(json.path("limits"), "memory_mb"));
    }

    private static JsonNode parseJson(String text, ObjectMapper mapper) throws ConfigurationException {
        try {
            return mapper.readTree(text);
        } catch (JsonProcessingException e) {
            throw new ConfigurationException("file", "is not JSON: " + e.getOriginalMessage(), e);
        }
    }

    private static InetSocketAddress parseAddress(JsonNode json, String field) throws ConfigurationException {
        try {
            return SocketAddresses.parse(json.path(field).asText());
        } catch (IllegalArgumentException e) {
            throw new ConfigurationException(field, e.getMessage(), e);
        }
    }

    private static EndpointList parseLastKnownList(JsonNode known) throws ConfigurationException {
        if (!known.isObject()) {
            return null;
        }
        try {
            return EndpointList.parse(known);
        } catch (EndpointListException e) {
            throw new ConfigurationException("known", e.getMessage(), e);
        }
    }

    private static long parseSeed(String text) throws ConfigurationException {
        try {
            return Long.parseUnsignedLong(text, SEED_RADIX);
        } catch (NumberFormatException e) {
            throw new ConfigurationException("seed", "'" + text + "' is not a hexadecimal number", e);
        }
    }

    private static double parseLimit(JsonNode limits, String field) throws ConfigurationException {
        double value = limits.path(field).asDouble();
        if (!(value >= 1 && value <= Integer.MAX_VALUE)) {
            throw new ConfigurationException("limits." + field, "is missing or out of range");
        }
        return value;
    }

    /** Converts JSON to pairs of path and value; an array becomes its count and its numbered items. */
    private static void flatten(String path, JsonNode node, Map<String, String> valuesByPath) {
        if (node.isObject()) {
            String prefix = path.isEmpty() ? "" : path + ".";
            node.properties().forEach(field -> flatten(prefix + field.getKey(), field.getValue(), valuesByPath));
        } else if (node.isArray()) {
            valuesByPath.put(path + ".count", Integer.toString(node.size()));
            for (int i = 0; i < node.size(); i++) {
                flatten(path + "." + i, node.get(i), valuesByPath);
            }
        } else if (!node.isNull() && !node.isMissingNode()) {
            valuesByPath.put(path, node.asText());
        }
    }
}
