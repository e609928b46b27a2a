package loadbalancer.lifecycle;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.function.Consumer;
import loadbalancer.configuration.Configuration;
import loadbalancer.configuration.ConfigurationException;
import loadbalancer.discovery.DiscoveryClient;

/**
 * What SIGHUP asks for: the configuration is read again and discovery's address taken from it. The rest is
 * what the process was started with. A file that is bad changes nothing: a typing error must not end what
 * serves.
 */
public final class ConfigurationReload implements Runnable {
    private final String path;
    private final ObjectMapper mapper;
    private final DiscoveryClient discovery;
    private final Consumer<String> log;

    public ConfigurationReload(String path, ObjectMapper mapper, DiscoveryClient discovery, Consumer<String> log) {
        this.path = path;
        this.mapper = mapper;
        this.discovery = discovery;
        this.log = log;
    }

    @Override
    public void run() {
        try {
            Configuration config = Configuration.read(path, mapper);
            discovery.migrate(config.discoveryAddress());
            log.accept("configuration reloaded: discovery is at " + config.discoveryAddress());
        } catch (ConfigurationException e) {
            log.accept("configuration reload rejected: " + e.getMessage());
        }
    }
}
