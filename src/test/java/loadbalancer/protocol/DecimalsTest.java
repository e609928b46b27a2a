package loadbalancer.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Locale;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Numbers as they are written to peers. */
class DecimalsTest {
    @Test
    void formatsThousandthsLikeFormatter() {
        for (double value : new double[] {
            0,
            -0.0,
            1e-9,
            0.0004999,
            0.0005,
            0.0015,
            0.9995,
            1,
            999.9995,
            3600,
            1e9 - 1,
            999_999_999.9995,
            1e9,
            1e12,
            -0.0005,
            -1.5,
            Double.MIN_VALUE,
            Double.MAX_VALUE,
            Double.NaN,
            Double.POSITIVE_INFINITY
        }) {
            assertFormattedLikeFormatter(value);
        }
    }

    @Test
    void formatsRandomNumbersAndHalvesLikeFormatter() {
        Random random = new Random(7);
        for (int i = 0; i < 100_000; i++) {
            double half = (random.nextInt(3_600_000) + 0.5) / 1000;
            assertFormattedLikeFormatter(half);
            assertFormattedLikeFormatter(Math.nextUp(half));
            assertFormattedLikeFormatter(Math.nextDown(half));
            assertFormattedLikeFormatter(random.nextDouble() * 3600);
            assertFormattedLikeFormatter(random.nextDouble() * Math.pow(10, random.nextInt(13) - 3));
        }
    }

    private static void assertFormattedLikeFormatter(double value) {
        assertEquals(String.format(Locale.ROOT, "%.3f", value), Decimals.formatThousandths(value), () -> "of " + value);
    }
}
