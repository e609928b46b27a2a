package loadbalancer.eventloop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import loadbalancer.testing.FakeServer;
import org.junit.jupiter.api.Test;

/** The processor time read from {@code /proc}. */
class ThreadProcessorTimeTest {
    private static final long WORK_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    @Test
    void addsUserAndSystemTime() {
        String line = "71 (a (b) c) R 1 71 71 0 -1 4194304 95 0 0 0 120 3 0 0 20";
        assertEquals(1_230_000_000L, ThreadProcessorTime.parse(line));
    }

    @Test
    void malformedLineIsUnknown() {
        for (String line : new String[] {"", "71 (java", "71 (java) R 1", "71 (java) R 1 2 3 4 5 6 7 8 9 10 x y z"}) {
            assertEquals(ThreadProcessorTime.UNKNOWN, ThreadProcessorTime.parse(line), line);
        }
    }

    @Test
    void increasesWhileThreadWorks() {
        ThreadProcessorTime time = new ThreadProcessorTime();
        long before = time.getAsLong();
        if (!Files.exists(Path.of("/proc/thread-self/stat"))) {
            assertEquals(ThreadProcessorTime.UNKNOWN, before);
            return;
        }
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(FakeServer.TIMEOUT_SECONDS);
        while (time.getAsLong() < before + WORK_NANOS && System.nanoTime() < deadlineNanos) {
            Thread.onSpinWait();
        }
        assertTrue(time.getAsLong() >= before + WORK_NANOS);
    }
}
