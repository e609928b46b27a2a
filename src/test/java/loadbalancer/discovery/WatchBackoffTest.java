package loadbalancer.discovery;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

class WatchBackoffTest {
    private static void assertBetween(double min, double max, double value) {
        assertTrue(value >= min && value <= max, value + " is not from " + min + " to " + max);
    }

    @Test
    void growsToFifthOfDrainGraceWithJitter() {
        WatchBackoff backoff = new WatchBackoff(2000, new Random(1));
        assertBetween(50, 150, backoff.nextDelayMillis());
        assertBetween(100, 300, backoff.nextDelayMillis());
        assertBetween(200, 600, backoff.nextDelayMillis());
        for (int i = 0; i < 2000; i++) {
            assertBetween(200, 600, backoff.nextDelayMillis());
        }
    }

    @Test
    void startsOverAfterReset() {
        WatchBackoff backoff = new WatchBackoff(2000, new Random(1));
        for (int i = 0; i < 10; i++) {
            backoff.nextDelayMillis();
        }
        backoff.reset();
        assertBetween(50, 150, backoff.nextDelayMillis());
    }

    @Test
    void isBoundedWithoutDrainGraceAndWithLongOne() {
        WatchBackoff none = new WatchBackoff(0, new Random(1));
        WatchBackoff longest = new WatchBackoff(1e9, new Random(1));
        for (int i = 0; i < 100; i++) {
            assertBetween(0.5, 1.5, none.nextDelayMillis());
            assertBetween(50, 6000, longest.nextDelayMillis());
        }
    }
}
