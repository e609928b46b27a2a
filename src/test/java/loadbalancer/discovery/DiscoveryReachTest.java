package loadbalancer.discovery;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import loadbalancer.configuration.Configuration;
import loadbalancer.policy.PolicySettings;
import loadbalancer.testing.TestSidecar;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * For how long a service that ends each watch after its list has to be in reach until a whole fleet has been told a
 * change, and what the calls cost.
 */
class DiscoveryReachTest {
    private static final double STEP_MILLIS = 10;
    private static final double PREPARED_MILLIS = 10_000;
    private static final double ENDING_MILLIS = 20_000;
    private static final double OBSERVED_MILLIS = 60_000;
    private static final double NINE_IN_TEN = 0.9;
    private static final double NOTIFIED_WITHIN_MILLIS = 6000;
    /** From the end of the last call to the next one. */
    private static final double SMALL_FLEET_MAX_PAUSE_MILLIS = 600;

    private final ModelledDiscovery discovery = new ModelledDiscovery();
    private final List<ModelledSidecar> sidecars = new ArrayList<>();
    private double now;

    private void run(double untilMillis) {
        while (now < untilMillis) {
            now += STEP_MILLIS;
            for (ModelledSidecar sidecar : sidecars) {
                sidecar.runTo(now);
            }
            discovery.runTo(now);
        }
    }

    private record Reach(int sidecars, double serviceMillis, double mostMillis, double allMillis, long callsInMinute) {}

    private Reach measure(int count, double serviceMillis) throws Exception {
        String json = TestSidecar.config("127.0.0.1:1", "127.0.0.1:2", 64)
                .replace("\"peers_total\":1", "\"peers_total\":" + count);
        PolicySettings settings = Configuration.parse(json, new ObjectMapper()).settings();
        for (int i = 0; i < count; i++) {
            ModelledSidecar sidecar = new ModelledSidecar(discovery, settings, i);
            sidecars.add(sidecar);
            sidecar.start(now);
        }
        run(PREPARED_MILLIS);
        discovery.serviceTime(serviceMillis);
        sidecars.forEach(ModelledSidecar::endWatches);
        run(PREPARED_MILLIS + ENDING_MILLIS);
        double changeMillis = now;
        double[] toldAfter = new double[count];
        Arrays.fill(toldAfter, Double.POSITIVE_INFINITY);
        for (double until = changeMillis; until < changeMillis + OBSERVED_MILLIS; until += STEP_MILLIS) {
            run(until + STEP_MILLIS);
            for (int i = 0; i < count; i++) {
                boolean told = sidecars.get(i).listedAtMillis() > changeMillis;
                toldAfter[i] = told ? Math.min(toldAfter[i], now - changeMillis) : toldAfter[i];
            }
        }
        Arrays.sort(toldAfter);
        Reach reach = new Reach(
                count,
                serviceMillis,
                toldAfter[(int) Math.ceil(NINE_IN_TEN * count) - 1],
                toldAfter[count - 1],
                discovery.callsFrom(changeMillis));
        System.out.println(reach);
        return reach;
    }

    // Guards against pauses after short watches by the length of the term, in which discovery goes out of reach.
    @ParameterizedTest
    @CsvSource({"1, 10", "5, 10", "8, 10", "5, 88", "8, 88"})
    void smallFleetIsToldWithinShortTimeOfReach(int count, double serviceMillis) throws Exception {
        Reach reach = measure(count, serviceMillis);
        double limitMillis = SMALL_FLEET_MAX_PAUSE_MILLIS + 2 * count * serviceMillis + 200;
        assertTrue(reach.allMillis() <= limitMillis, reach::toString);
    }

    @ParameterizedTest
    @CsvSource({"30, 10", "30, 88", "100, 10"})
    void largeFleetIsToldWithinTerm(int count, double serviceMillis) throws Exception {
        Reach reach = measure(count, serviceMillis);
        assertTrue(reach.allMillis() <= NOTIFIED_WITHIN_MILLIS, reach::toString);
    }

    // One call of each sidecar takes the service 8.4 s or more, so that nobody could have them all told in 6 s.
    @ParameterizedTest
    @CsvSource({"100, 88", "840, 10", "840, 88"})
    void fleetThatServiceCannotTellInTermIsTold(int count, double serviceMillis) throws Exception {
        Reach reach = measure(count, serviceMillis);
        assertTrue(reach.mostMillis() <= OBSERVED_MILLIS, reach::toString);
    }
}
