package loadbalancer.lifecycle;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.function.Consumer;
import loadbalancer.configuration.Configuration;
import loadbalancer.configuration.ConfigurationException;
import loadbalancer.discovery.DiscoveryClient;

/**
 * Reads the configuration again, as SIGHUP requests, and takes discovery's address from it; every other setting stays
 * as it was at the start. An invalid file changes nothing, because a typing error must not end a running sidecar.
 */
public final class ConfigurationReload implements Runnable {
    private final String path;
    private final ObjectMapper mapper;
    private final DiscoveryClient discovery;
    private final Consumer<String> log;

    /**
     * Makes a reload that may run any number of times, on the event loop.
     *
     * @param path the configuration file
     * @param mapper the parser of the file
     * @param discovery the client whose address is updated
     * @param log receives one line for each reload
     */
    public ConfigurationReload(String path, ObjectMapper mapper, DiscoveryClient discovery, Consumer<String> log) {
        this.path = path;
        this.mapper = mapper;
        this.discovery = discovery;
        this.log = log;
    }

    /** Reads the file and updates discovery's address, or logs why the file was rejected. */
    @Override
    public void run() {
        try {
            Configuration configuration = Configuration.read(path, mapper);
            discovery.migrate(configuration.discoveryAddress());
            log.accept("configuration reloaded: discovery is at " + configuration.discoveryAddress());
        } catch (ConfigurationException e) {
            log.accept("configuration reload rejected: " + e.getMessage());
        }
    }
}
