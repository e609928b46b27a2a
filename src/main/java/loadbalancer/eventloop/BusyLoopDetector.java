package loadbalancer.eventloop;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Logs a line when an event loop uses much processor time with hardly any socket events to show for it. Many turns
 * then point at a loop that polls without waiting, few turns at a task that runs for long.
 */
public final class BusyLoopDetector implements Runnable {
    private static final long CHECK_INTERVAL_MS = 1000;
    private static final double LOG_INTERVAL_MS = 10_000;
    /** The share of the time that passed from which the processor time used is much. */
    private static final double BUSY_SHARE = 0.5;
    /** Fewer socket events a second than this do not explain a busy loop. */
    private static final int EVENTS_PER_SECOND = 5;

    private static final double MILLIS_PER_SECOND = 1000;
    private static final double NANOS_PER_MILLI = 1e6;

    private final LoopActivity activity;
    private final Clock clock;
    private final LongSupplier processorNanos;
    private final Consumer<String> log;
    private double checkedAt;
    /** Unknown until the first run, which so has nothing to compare with. */
    private long processorNanosThen = ThreadProcessorTime.UNKNOWN;

    private long turnsThen;
    private long socketEventsThen;
    private double loggedAt = Double.NEGATIVE_INFINITY;

    /**
     * A detector that measures from its first run on.
     *
     * @param processorNanos the processor time that the loop's thread has used, or {@link ThreadProcessorTime#UNKNOWN}
     */
    BusyLoopDetector(LoopActivity activity, Clock clock, LongSupplier processorNanos, Consumer<String> log) {
        this.activity = activity;
        this.clock = clock;
        this.processorNanos = processorNanos;
        this.log = log;
    }

    /** Checks this loop once a second, on the loop itself. */
    public static void start(EventLoop loop, LoopActivity activity, Clock clock, Consumer<String> log) {
        BusyLoopDetector detector = new BusyLoopDetector(activity, clock, new ThreadProcessorTime(), log);
        loop.scheduleWithFixedDelay(detector, 0, CHECK_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    /** Looks at what the loop did since the last run. */
    @Override
    public void run() {
        double now = clock.now();
        long processorNanosNow = processorNanos.getAsLong();
        check(now, processorNanosNow);
        remember(now, processorNanosNow);
    }

    private void check(double now, long processorNanosNow) {
        double elapsed = now - checkedAt;
        double used = (processorNanosNow - processorNanosThen) / NANOS_PER_MILLI;
        long events = activity.socketEvents() - socketEventsThen;
        long turns = activity.turns() - turnsThen;
        boolean measured =
                processorNanosNow != ThreadProcessorTime.UNKNOWN && processorNanosThen != ThreadProcessorTime.UNKNOWN;
        boolean busy = used > elapsed * BUSY_SHARE && events < EVENTS_PER_SECOND * elapsed / MILLIS_PER_SECOND;
        if (measured && busy && now - loggedAt >= LOG_INTERVAL_MS) {
            loggedAt = now;
            // No formatter and no concatenation of strings: both load much on their first use.
            log.accept(new StringBuilder("event loop busy without cause: ")
                    .append(Math.round(used))
                    .append(" ms of processor time in ")
                    .append(Math.round(elapsed))
                    .append(" ms, ")
                    .append(turns)
                    .append(" turns, ")
                    .append(events)
                    .append(" socket events")
                    .toString());
        }
    }

    private void remember(double now, long processorNanosNow) {
        checkedAt = now;
        processorNanosThen = processorNanosNow;
        turnsThen = activity.turns();
        socketEventsThen = activity.socketEvents();
    }
}
