package loadbalancer.upstream;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import loadbalancer.eventloop.Clock;

/**
 * Detects a response that has begun and then brings no more bytes, on a connection that stays open. It watches one
 * exchange at a time.
 */
final class StallDetector implements Runnable {
    /** Called on the event loop when the watched response has stalled. */
    interface Listener {
        /** The response has begun and has brought nothing for the stall timeout. */
        void responseStalled();
    }

    /** How long a response may pause. An attempt with an earlier deadline ends before it. */
    private static final double STALL_TIMEOUT_MILLIS = 500;

    private final EventLoop loop;
    private final Clock clock;
    private final Listener listener;
    private Exchange exchange;
    private Future<?> timer;

    /** A detector that watches nothing. */
    StallDetector(EventLoop loop, Clock clock, Listener listener) {
        this.loop = loop;
        this.clock = clock;
        this.listener = listener;
    }

    /** Begins to watch this exchange, unless one is being watched. */
    void watch(Exchange begun) {
        if (timer == null) {
            exchange = begun;
            schedule(STALL_TIMEOUT_MILLIS);
        }
    }

    /** Stops watching. */
    void stop() {
        if (timer != null) {
            timer.cancel(false);
            timer = null;
            // An idle connection must not keep its last request in memory.
            exchange = null;
        }
    }

    private void schedule(double delayMillis) {
        timer = loop.schedule(this, (long) Math.ceil(delayMillis), TimeUnit.MILLISECONDS);
    }

    /** The timer's task. */
    @Override
    public void run() {
        timer = null;
        if (exchange.attempt().completed()) {
            exchange = null;
            return;
        }
        double remainingMillis = exchange.lastReadMillis() + STALL_TIMEOUT_MILLIS - clock.now();
        if (remainingMillis > 0) {
            schedule(remainingMillis);
        } else {
            listener.responseStalled();
        }
    }
}
