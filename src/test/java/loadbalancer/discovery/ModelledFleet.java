package loadbalancer.discovery;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import loadbalancer.configuration.Configuration;
import loadbalancer.policy.PolicySettings;
import loadbalancer.testing.TestSidecar;

/** Sidecars of one fleet and the service that they call, on a simulated clock. Times are in milliseconds. */
final class ModelledFleet {
    private static final double STEP_MILLIS = 10;

    final ModelledDiscovery discovery = new ModelledDiscovery();
    final List<ModelledSidecar> sidecars = new ArrayList<>();
    private double now;

    double now() {
        return now;
    }

    /** Adds so many sidecars whose settings say how many the fleet has. */
    void add(int count, int fleet) throws Exception {
        String json = TestSidecar.config("127.0.0.1:1", "127.0.0.1:2", 64)
                .replace("\"peers_total\":1", "\"peers_total\":" + fleet);
        PolicySettings settings = Configuration.parse(json, new ObjectMapper()).settings();
        for (int i = 0; i < count; i++) {
            sidecars.add(new ModelledSidecar(discovery, settings, i));
        }
    }

    /** Starts all of them now. */
    void start() {
        sidecars.forEach(sidecar -> sidecar.start(now));
    }

    /** Runs what is due by this time. */
    void run(double untilMillis) {
        while (now < untilMillis) {
            now += STEP_MILLIS;
            for (ModelledSidecar sidecar : sidecars) {
                sidecar.runTo(now);
            }
            discovery.runTo(now);
        }
    }

    /** Runs for one step of the clock. */
    void runStep() {
        run(now + STEP_MILLIS);
    }
}
