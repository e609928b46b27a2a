package loadbalancer.discovery;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * For how long a service that ends each watch after its list has to be in reach until a whole fleet has been told a
 * change, and what the calls cost.
 */
class DiscoveryReachTest {
    private static final double PREPARED_MILLIS = 10_000;
    private static final double ENDING_MILLIS = 20_000;
    private static final double OBSERVED_MILLIS = 60_000;
    private static final double NINE_IN_TEN = 0.9;
    private static final double NOTIFIED_WITHIN_MILLIS = 6000;
    /** From the end of the last call to the next one. */
    private static final double SMALL_FLEET_MAX_PAUSE_MILLIS = 600;

    private final ModelledFleet fleet = new ModelledFleet();

    private record Reach(int sidecars, double serviceMillis, double mostMillis, double allMillis, long callsInMinute) {}

    private Reach measure(int count, double serviceMillis) throws Exception {
        fleet.add(count, count);
        fleet.start();
        fleet.run(PREPARED_MILLIS);
        fleet.discovery.serviceTime(serviceMillis);
        fleet.sidecars.forEach(ModelledSidecar::endWatches);
        fleet.run(PREPARED_MILLIS + ENDING_MILLIS);
        double changeMillis = fleet.now();
        double[] toldAfter = new double[count];
        Arrays.fill(toldAfter, Double.POSITIVE_INFINITY);
        while (fleet.now() < changeMillis + OBSERVED_MILLIS) {
            fleet.runStep();
            for (int i = 0; i < count; i++) {
                boolean told = fleet.sidecars.get(i).listedAtMillis() > changeMillis;
                toldAfter[i] = told ? Math.min(toldAfter[i], fleet.now() - changeMillis) : toldAfter[i];
            }
        }
        Arrays.sort(toldAfter);
        Reach reach = new Reach(
                count,
                serviceMillis,
                toldAfter[(int) Math.ceil(NINE_IN_TEN * count) - 1],
                toldAfter[count - 1],
                fleet.discovery.callsFrom(changeMillis));
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
