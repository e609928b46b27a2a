package loadbalancer.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ShutdownScheduleTest {
    private static final double NEW_CONNECTIONS_COME_FOR_MS = 400;

    @ParameterizedTest
    @ValueSource(doubles = {50, 100, 250, 300, 399, 400, 500, 800, 1000, 1400, 2000, 3000, 8000, 60_000})
    void whateverTheDeadlinesEachStepLeavesTimeBeforeTheKill(double longestDeadline) {
        ShutdownSchedule schedule = ShutdownSchedule.of(longestDeadline);
        double killAt = ShutdownSchedule.killAt(longestDeadline);
        assertEquals(killAt - 600, schedule.failHeldAt(), "what is held is failed in time");
        assertTrue(schedule.closeIdleAt() <= schedule.failHeldAt(), "idle connections close before");
        assertTrue(schedule.stopAcceptingAt() >= NEW_CONNECTIONS_COME_FOR_MS, "while connections come they are taken");
        assertTrue(schedule.stopAcceptingAt() <= killAt - 200, "a late loop still stops before the kill");
    }
}
