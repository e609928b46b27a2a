package loadbalancer.eventloop;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Logs a line when an event loop uses much processor time while it handles hardly any socket events. Many turns then
 * point at a loop that polls without waiting, few turns at a task that runs for long.
 */
public final class BusyLoopDetector implements Runnable {
    private static final long CHECK_INTERVAL_MILLIS = 1000;
    private static final double MIN_LOG_INTERVAL_MILLIS = 10_000;
    /** The fraction of the elapsed time above which the processor time used is too much to go unexplained. */
    private static final double MAX_PROCESSOR_FRACTION = 0.5;
    /** Fewer socket events than this do not explain a busy loop. */
    private static final int MIN_SOCKET_EVENTS_PER_SECOND = 5;

    private static final double MILLIS_PER_SECOND = 1000;
    private static final double NANOS_PER_MILLI = 1e6;

    private final LoopActivity activity;
    private final Clock clock;
    private final LongSupplier processorNanos;
    private final Consumer<String> log;
    private double previousCheckMillis;
    /** Unknown until the first check, which therefore has nothing to compare with. */
    private long previousProcessorNanos = ThreadProcessorTime.UNKNOWN;

    private long previousTurns;
    private long previousSocketEvents;
    private double loggedAtMillis = Double.NEGATIVE_INFINITY;

    /**
     * Makes a detector that measures from its first run on.
     *
     * @param activity the loop's counters
     * @param processorNanos the processor time that the loop's thread has used, or {@link ThreadProcessorTime#UNKNOWN}
     */
    BusyLoopDetector(LoopActivity activity, Clock clock, LongSupplier processorNanos, Consumer<String> log) {
        this.activity = activity;
        this.clock = clock;
        this.processorNanos = processorNanos;
        this.log = log;
    }

    /** Checks the loop once a second, on the loop itself. */
    public static void start(EventLoop loop, LoopActivity activity, Clock clock, Consumer<String> log) {
        BusyLoopDetector detector = new BusyLoopDetector(activity, clock, new ThreadProcessorTime(), log);
        loop.scheduleWithFixedDelay(detector, 0, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Checks what the loop did since the previous run. */
    @Override
    public void run() {
        double nowMillis = clock.now();
        long currentProcessorNanos = processorNanos.getAsLong();
        if (currentProcessorNanos != ThreadProcessorTime.UNKNOWN
                && previousProcessorNanos != ThreadProcessorTime.UNKNOWN) {
            check(nowMillis, (currentProcessorNanos - previousProcessorNanos) / NANOS_PER_MILLI);
        }
        previousCheckMillis = nowMillis;
        previousProcessorNanos = currentProcessorNanos;
        previousTurns = activity.turns();
        previousSocketEvents = activity.socketEvents();
    }

    private void check(double nowMillis, double processorMillis) {
        double elapsedMillis = nowMillis - previousCheckMillis;
        long socketEvents = activity.socketEvents() - previousSocketEvents;
        boolean busy = processorMillis > elapsedMillis * MAX_PROCESSOR_FRACTION
                && socketEvents < MIN_SOCKET_EVENTS_PER_SECOND * elapsedMillis / MILLIS_PER_SECOND;
        if (busy && nowMillis - loggedAtMillis >= MIN_LOG_INTERVAL_MILLIS) {
            loggedAtMillis = nowMillis;
            log.accept(message(processorMillis, elapsedMillis, activity.turns() - previousTurns, socketEvents));
        }
    }

    private static String message(double processorMillis, double elapsedMillis, long turns, long socketEvents) {
        // No formatter and no concatenation of strings: both load many classes on their first use.
        return new StringBuilder("event loop busy without cause: ")
                .append(Math.round(processorMillis))
                .append(" ms of processor time in ")
                .append(Math.round(elapsedMillis))
                .append(" ms, ")
                .append(turns)
                .append(" turns, ")
                .append(socketEvents)
                .append(" socket events")
                .toString();
    }
}
