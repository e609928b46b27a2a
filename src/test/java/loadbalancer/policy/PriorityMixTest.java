package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** How a drop percentage is split over the priority levels, and which level a request has. */
class PriorityMixTest {
    private static final int HIGH = 0;
    private static final int LOW = 1;

    private static PriorityMix mix(SettingsBuilder settings) {
        return new PriorityMix(settings.build(), new SplittableRandom(1));
    }

    private static SettingsBuilder twoClasses() {
        return SettingsBuilder.forClasses(RequestClasses.HIGH_PRIORITY, RequestClasses.LOW_PRIORITY);
    }

    private static int record(PriorityMix mix, int classIndex, int tenant) {
        return mix.record(new PolicyRequest(0, classIndex, tenant, 1000, false));
    }

    private static void record(PriorityMix mix, int classIndex, int tenant, int count) {
        for (int i = 0; i < count; i++) {
            record(mix, classIndex, tenant);
        }
    }

    @Test
    void lowestLevelBearsDropsAlone() {
        PriorityMix mix = mix(twoClasses());
        record(mix, LOW, -1, 3);
        record(mix, HIGH, -1, 1);
        mix.endPeriod();
        // Three quarters of the requests are of level 0.
        assertEquals(0, mix.dropFraction(0, 0));
        assertEquals(0.4, mix.dropFraction(0, 0.3), 1e-9);
        assertTrue(mix.dropFraction(1, 0.3) <= 0);
        assertEquals(1, mix.dropFraction(0, 0.75), 1e-9);
        assertEquals(0, mix.dropFraction(1, 0.75), 1e-9);
        assertEquals(0.5, mix.dropFraction(1, 0.875), 1e-9);
        assertEquals(1, mix.dropFraction(1, 1), 1e-9);
    }

    @Test
    void olderRequestsCountLess() {
        PriorityMix mix = mix(twoClasses());
        record(mix, LOW, -1, 4);
        mix.endPeriod();
        record(mix, HIGH, -1, 4);
        mix.endPeriod();
        // 0.98 of the first four are left.
        double lowFraction = 3.92 / 7.92;
        assertEquals(0.3 / lowFraction, mix.dropFraction(0, 0.3), 1e-9);
        assertEquals((0.75 - lowFraction) / (1 - lowFraction), mix.dropFraction(1, 0.75), 1e-9);
    }

    @Test
    void levelWithoutTrafficIsDroppedWhenHigherOnesAre() {
        PriorityMix mix = mix(twoClasses());
        record(mix, HIGH, -1, 4);
        mix.endPeriod();
        assertEquals(1, mix.dropFraction(0, 0.1));
        assertEquals(0, mix.dropFraction(0, 0));
        assertEquals(0.1, mix.dropFraction(1, 0.1), 1e-9);
    }

    @Test
    void onlyExcessOverQuotaHasLowerLevel() {
        PriorityMix mix = mix(SettingsBuilder.forClasses(RequestClasses.HIGH_PRIORITY)
                .tenants(0.2, new Tenant("t0", 0.5, 100), new Tenant("t1", 0.5, 100)));
        // One of five is of t1, which is within its quota; t0 has 0.8, and 0.3 / 0.8 of it are over.
        int overQuota = 0;
        for (int i = 0; i < 1000; i++) {
            for (int j = 0; j < 4; j++) {
                overQuota += record(mix, HIGH, 0) == 0 ? 1 : 0;
            }
            assertEquals(1, record(mix, HIGH, 1));
        }
        assertEquals(0.375, overQuota / 4000.0, 0.02);
    }

    @Test
    void requestsWithoutTenantHaveNoQuota() {
        PriorityMix mix =
                mix(SettingsBuilder.forClasses(RequestClasses.HIGH_PRIORITY).tenants(0.2, new Tenant("t0", 0.5, 100)));
        for (int i = 0; i < 100; i++) {
            assertEquals(1, record(mix, HIGH, -1));
        }
    }

    @Test
    void meanOfPeriodsIsThatOfSteadyTraffic() {
        PriorityMix mix = mix(twoClasses());
        for (int period = 1; period <= 50; period++) {
            record(mix, HIGH, -1, 7);
            mix.endPeriod();
            assertEquals(7, mix.requestsPerPeriod(period), 1e-9);
        }
    }
}
