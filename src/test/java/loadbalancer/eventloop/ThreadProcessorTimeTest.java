package loadbalancer.eventloop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import loadbalancer.testing.FakeServer;
import org.junit.jupiter.api.Test;

class ThreadProcessorTimeTest {
    @Test
    void userAndSystemTimeAreAddedUp() {
        String line = "71 (a (b) c) R 1 71 71 0 -1 4194304 95 0 0 0 120 3 0 0 20";
        assertEquals(1_230_000_000L, ThreadProcessorTime.parse(line));
    }

    @Test
    void whatIsNoSuchLineIsUnknown() {
        for (String line : new String[] {"", "71 (java", "71 (java) R 1", "71 (java) R 1 2 3 4 5 6 7 8 9 10 x y z"}) {
            assertEquals(ThreadProcessorTime.UNKNOWN, ThreadProcessorTime.parse(line), line);
        }
    }

    @Test
    void aThreadThatWorksUsesTime() {
        ThreadProcessorTime time = new ThreadProcessorTime();
        long before = time.getAsLong();
        if (!Files.exists(Path.of("/proc/thread-self/stat"))) {
            assertEquals(ThreadProcessorTime.UNKNOWN, before);
            return;
        }
        long until = System.nanoTime() + FakeServer.PATIENCE_S * 1_000_000_000L;
        while (time.getAsLong() < before + 20_000_000 && System.nanoTime() < until) {
            Thread.onSpinWait();
        }
        assertTrue(time.getAsLong() >= before + 20_000_000);
    }
}
