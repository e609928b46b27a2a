package loadbalancer.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ShutdownScheduleTest {
    private static final double NEW_CONNECTIONS_COME_FOR_MILLIS = 400;

    @ParameterizedTest
    @ValueSource(doubles = {50, 100, 250, 300, 399, 400, 500, 800, 1000, 1400, 2000, 3000, 8000, 60_000})
    void leavesTimeBeforeKillForAnyDeadline(double longestDeadlineMillis) {
        ShutdownSchedule schedule = ShutdownSchedule.of(longestDeadlineMillis);
        double killAtMillis = ShutdownSchedule.earliestKillMillis(longestDeadlineMillis);
        assertEquals(killAtMillis - 600, schedule.failPendingAtMillis(), "pending requests are failed in time");
        assertTrue(schedule.closeIdleAtMillis() <= schedule.failPendingAtMillis(), "idle connections close before");
        assertTrue(
                schedule.stopAcceptingAtMillis() >= NEW_CONNECTIONS_COME_FOR_MILLIS,
                "new connections are accepted while they come");
        assertTrue(schedule.stopAcceptingAtMillis() <= killAtMillis - 200, "a late loop still stops before the kill");
    }
}
