package loadbalancer.faultsearch;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;

/** Plays the sequences of a range of seeds on all cores, and keeps those that fail. */
final class FaultSequenceSearch {
    private final Predicate<FaultSequence> played;
    private final int maxFailing;
    private final AtomicLong plays = new AtomicLong();
    private final AtomicLong calls = new AtomicLong();
    private final AtomicLong judged = new AtomicLong();
    private final AtomicLong restingOnIdealClient = new AtomicLong();
    /** The first violation of each seed that fails. */
    private final Map<Long, String> failing = new ConcurrentSkipListMap<>();

    /**
     * A search that has found nothing.
     *
     * @param played which of the sequences are played
     * @param maxFailing how many seeds that fail are kept, or one more a core
     */
    FaultSequenceSearch(Predicate<FaultSequence> played, int maxFailing) {
        this.played = played;
        this.maxFailing = maxFailing;
    }

    /** Plays the seeds from the first one up to, but not including, the end. */
    void run(long firstSeed, long endSeed) throws InterruptedException, ExecutionException {
        int threads = Runtime.getRuntime().availableProcessors();
        ExecutorService executor = Executors.newFixedThreadPool(threads);
        AtomicLong next = new AtomicLong(firstSeed);
        try {
            List<Future<Void>> workers = new ArrayList<>();
            for (int i = 0; i < threads; i++) {
                Callable<Void> worker = () -> {
                    for (long seed = next.getAndIncrement(); seed < endSeed; seed = next.getAndIncrement()) {
                        play(seed);
                    }
                    return null;
                };
                workers.add(executor.submit(worker));
            }
            for (Future<Void> worker : workers) {
                worker.get();
            }
        } finally {
            executor.shutdownNow();
        }
    }

    private void play(long seed) {
        FaultSequence sequence = FaultSequenceGenerator.draw(seed);
        if (!played.test(sequence)) {
            return;
        }
        plays.incrementAndGet();
        VirtualRun.Result result = VirtualRun.play(sequence);
        calls.addAndGet(result.calls());
        judged.addAndGet(result.checks().judged());
        restingOnIdealClient.addAndGet(result.checks().restingOnIdealClient());
        if (!result.violations().isEmpty() && failing.size() < maxFailing) {
            failing.put(seed, result.violations().get(0));
        }
    }

    /** Returns how many sequences were played. */
    long plays() {
        return plays.get();
    }

    /** Returns how many calls to discovery the processes made. */
    long calls() {
        return calls.get();
    }

    /** Returns how many drains were judged at a process. */
    long judged() {
        return judged.get();
    }

    /** Returns how many of these passed only since no client could have had the change. */
    long restingOnIdealClient() {
        return restingOnIdealClient.get();
    }

    /** Returns the first violation of each seed that fails. */
    Map<Long, String> failing() {
        return failing;
    }
}
