package loadbalancer.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import loadbalancer.eventloop.Clock;
import loadbalancer.policy.AttemptOutcome;
import org.junit.jupiter.api.Test;

/** When a response counts as stalled; the loop's time and the clock advance together. */
class StallDetectorTest {
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final AtomicLong nanos = new AtomicLong();
    private final Clock clock = new Clock(nanos::get);
    private final AtomicInteger stalls = new AtomicInteger();
    private final StallDetector detector = new StallDetector(channel.eventLoop(), clock, stalls::incrementAndGet);
    private final EndpointAttempt attempt = new EndpointAttempt(new IgnoringListener());
    private final Exchange exchange = new Exchange(attempt, 0);

    StallDetectorTest() {
        channel.freezeTime();
        exchange.recordRead(clock.now());
        detector.watch(exchange);
    }

    private void advance(long millis) {
        nanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
        channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
    }

    @Test
    void reportsStallAfterTimeout() {
        advance(499);
        assertEquals(0, stalls.get());
        advance(1);
        assertEquals(1, stalls.get());
    }

    @Test
    void waitsTimeoutAfterLastRead() {
        advance(400);
        exchange.recordRead(clock.now());
        detector.watch(exchange);
        advance(499);
        assertEquals(0, stalls.get());
        advance(1);
        assertEquals(1, stalls.get());
    }

    @Test
    void ignoresCompletedAttempt() {
        attempt.end(AttemptOutcome.TIMED_OUT);
        advance(1000);
        assertEquals(0, stalls.get());
    }

    @Test
    void ignoresExchangeAfterStop() {
        detector.stop();
        advance(1000);
        assertEquals(0, stalls.get());
    }
}
