package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** How the error rate of a class rises, falls and drops requests. */
class ClassErrorRatesTest {
    private static final int DRAWS = 10_000;

    private final ClassErrorRates rates = new ClassErrorRates(2);
    private final SplittableRandom random = new SplittableRandom(1);

    private void assertDropRate(double expected, int classIndex) {
        int drops = 0;
        for (int i = 0; i < DRAWS; i++) {
            drops += rates.drops(classIndex, random) ? 1 : 0;
        }
        assertEquals(expected, (double) drops / DRAWS, 0.02);
    }

    @Test
    void drawsNothingBeforeFirstError() {
        rates.recordSuccess(0);
        for (int i = 0; i < 100; i++) {
            assertFalse(rates.drops(0, random));
        }
        assertEquals(new SplittableRandom(1).nextLong(), random.nextLong());
    }

    @Test
    void errorsCountForTheirClassOnly() {
        rates.recordError(0);
        assertDropRate(0.5, 0);
        assertDropRate(0, 1);
        rates.recordError(0);
        assertDropRate(0.75, 0);
    }

    @Test
    void successHalvesTheRate() {
        rates.recordError(0);
        rates.recordSuccess(0);
        assertDropRate(0.25, 0);
    }

    @Test
    void rateDecaysOverPeriods() {
        rates.recordError(0);
        for (int i = 0; i < 500; i++) {
            rates.endPeriod();
        }
        // 0.5 x 0.998 to the 500th.
        assertDropRate(0.18, 0);
    }

    @Test
    void clearForgetsErrors() {
        rates.recordError(0);
        rates.clear();
        assertDropRate(0, 0);
        rates.recordError(1);
        assertDropRate(0.5, 1);
        assertDropRate(0, 0);
    }
}
