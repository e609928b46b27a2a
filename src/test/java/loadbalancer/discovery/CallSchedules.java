package loadbalancer.discovery;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.SplittableRandom;
import loadbalancer.configuration.Configuration;
import loadbalancer.policy.DiscoveryCallSchedule;
import loadbalancer.policy.ListCurrency;
import loadbalancer.policy.PolicySettings;
import loadbalancer.testing.TestSidecar;

/** Schedules of calls to discovery without a policy. */
final class CallSchedules {
    private CallSchedules() {}

    /** Returns one of a sidecar with a drain grace of 500 ms; {@code mode} is "ask" or "push". */
    static DiscoveryCallSchedule of(String mode, int sidecars) throws Exception {
        String json = TestSidecar.config("127.0.0.1:1", "127.0.0.1:2", 64)
                .replace("\"drain_grace\":2000", "\"drain_grace\":500")
                .replace("\"peers_total\":1", "\"peers_total\":" + sidecars)
                .replace("\"discovery\":\"ask\"", "\"discovery\":\"" + mode + "\"");
        return of(Configuration.parse(json, new ObjectMapper()).settings());
    }

    /** Returns one of a sidecar with these settings. */
    static DiscoveryCallSchedule of(PolicySettings settings) {
        return new DiscoveryCallSchedule(settings, new ListCurrency(settings.rules()), new SplittableRandom(1));
    }
}
