package loadbalancer.simulator;

import java.util.HashMap;
import java.util.Map;
import loadbalancer.configuration.ConfigurationException;
import loadbalancer.configuration.SettingsReader;
import loadbalancer.policy.PolicySettings;

/** Parses the settings of an instance, which its first message contains as pairs of path and value. */
final class InstanceParameters {
    private InstanceParameters() {}

    /**
     * Parses pairs such as {@code ordinal=0}, separated by spaces.
     *
     * @throws ConfigurationException if a pair or a setting is malformed, or a setting is missing
     */
    static PolicySettings parse(String text) throws ConfigurationException {
        Map<String, String> valuesByPath = new HashMap<>();
        for (String pair : text.split(" ")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                valuesByPath.put(pair.substring(0, equals), pair.substring(equals + 1));
            } else if (!pair.isEmpty()) {
                throw new ConfigurationException("'" + pair + "'", "is not path=value");
            }
        }
        return new SettingsReader(valuesByPath).settings();
    }
}
