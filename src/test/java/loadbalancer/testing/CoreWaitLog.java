package loadbalancer.testing;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** For how long threads were ready to run and got no core, sampled from the kernel while a test runs. */
public final class CoreWaitLog {
    private static final long SAMPLE_INTERVAL_MILLIS = 100;
    /** What a loaded machine does all the time. */
    private static final double MIN_WAIT_MILLIS = 20;

    private record Sample(long atNanos, double waitedMillis) {}

    private final Supplier<List<Path>> threads;
    private final CoreWaits waits = new CoreWaits();
    private final List<Sample> samples = new CopyOnWriteArrayList<>();

    private CoreWaitLog(Supplier<List<Path>> threads) {
        this.threads = threads;
    }

    /** Samples these threads, given by the kernel's folders of them, until the executor is shut down. */
    public static CoreWaitLog start(ScheduledExecutorService executor, Supplier<List<Path>> threads) {
        CoreWaitLog log = new CoreWaitLog(threads);
        executor.scheduleWithFixedDelay(log::sample, 0, SAMPLE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        return log;
    }

    private void sample() {
        double waitedMillis = waits.longestSinceLastSample(threads.get());
        if (waitedMillis > MIN_WAIT_MILLIS) {
            samples.add(new Sample(System.nanoTime(), waitedMillis));
        }
    }

    /** Returns the waits that ended in the time between, or up to one sample later, in milliseconds. */
    public double waitedMillis(long fromNanos, long untilNanos) {
        long lastNanos = untilNanos + TimeUnit.MILLISECONDS.toNanos(SAMPLE_INTERVAL_MILLIS);
        return samples.stream()
                .filter(sample -> sample.atNanos >= fromNanos && sample.atNanos <= lastNanos)
                .mapToDouble(Sample::waitedMillis)
                .sum();
    }
}
