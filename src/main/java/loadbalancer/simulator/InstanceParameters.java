package loadbalancer.simulator;

import java.util.HashMap;
import java.util.Map;
import loadbalancer.configuration.ConfigurationException;
import loadbalancer.configuration.SettingsReader;
import loadbalancer.policy.PolicySettings;

/** Splits the pairs of an instance's first message. */
final class InstanceParameters {
    private final Map<String, String> pairs = new HashMap<>();

    InstanceParameters(String text) {
        for (String pair : text.split(" ")) {
            int eq = pair.indexOf('=');
            if (eq > 0) {
                pairs.put(pair.substring(0, eq), pair.substring(eq + 1));
            } else if (!pair.isEmpty()) {
                throw new WireFormatException("field boot_info: '" + pair + "' is not path=value");
            }
        }
    }

    PolicySettings settings() {
        try {
            return new SettingsReader(pairs).settings();
        } catch (ConfigurationException e) {
            throw new WireFormatException("field boot_info: " + e.getMessage());
        }
    }
}
