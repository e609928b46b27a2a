package loadbalancer.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class WatchGuardTest {
    private final List<String> log = new ArrayList<>();
    private final WatchGuard guard = new WatchGuard(log::add);

    @Test
    void findsListUnwatchedOnceNothingWouldBeginCallForSecond() {
        assertFalse(guard.unwatched(0, true, Double.NaN));
        assertFalse(guard.unwatched(999, true, Double.NaN));
        assertTrue(guard.unwatched(1000, true, Double.NaN));
        assertFalse(guard.unwatched(1100, true, Double.NaN));
        assertTrue(guard.unwatched(2100, true, Double.NaN));
        assertEquals(2, guard.violations());
        assertEquals(1, log.size());
    }

    @Test
    void listIsWatchedWhileCallWaitsOrIsScheduled() {
        assertFalse(guard.unwatched(0, true, Double.NaN));
        assertFalse(guard.unwatched(500, false, Double.NaN));
        assertFalse(guard.unwatched(1400, true, Double.NaN));
        assertFalse(guard.unwatched(2300, true, 9000));
        assertFalse(guard.unwatched(9000, true, Double.NaN));
        assertEquals(List.of(), log);
    }
}
