package loadbalancer.faultsearch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/**
 * Random sequences of faults in virtual time, by seeds; no drain is ignored. By hand:
 * {@code -Dsearch.firstSeed=N -Dsearch.seeds=K}, and for more than a few failing seeds
 * {@code -Dsearch.maxFailing=N -Dsearch.maxReported=K}.
 */
class FaultSequenceSearchTest {
    private static final long DEFAULT_FIRST_SEED = 1;
    private static final long DEFAULT_SEEDS = 10_000;
    private static final int DEFAULT_MAX_FAILING = 40;
    private static final int DEFAULT_MAX_REPORTED = 3;

    // Guards against any sequence of faults after which requests go to an endpoint that is known to drain.
    @Test
    void noSequenceOfFaultsLetsDrainBeIgnored() throws Exception {
        long firstSeed = Long.getLong("search.firstSeed", DEFAULT_FIRST_SEED);
        long seeds = Long.getLong("search.seeds", DEFAULT_SEEDS);
        long startNanos = System.nanoTime();
        Map<Long, String> failing = search(firstSeed, firstSeed + seeds);
        System.out.printf(
                "fault sequences: seeds %d to %d in %.1f s, failing: %s%n",
                firstSeed, firstSeed + seeds - 1, (System.nanoTime() - startNanos) / 1e9, failing.keySet());
        int maxReported = Integer.getInteger("search.maxReported", DEFAULT_MAX_REPORTED);
        failing.keySet().stream().limit(maxReported).forEach(seed -> report(seed, failing.get(seed)));
        assertEquals(Map.of(), failing, "the reduced sequences are above");
    }

    private static Map<Long, String> search(long firstSeed, long endSeed) throws Exception {
        int threads = Runtime.getRuntime().availableProcessors();
        ExecutorService executor = Executors.newFixedThreadPool(threads);
        AtomicLong next = new AtomicLong(firstSeed);
        Map<Long, String> failing = new TreeMap<>();
        try {
            List<Future<Void>> workers = new ArrayList<>();
            for (int i = 0; i < threads; i++) {
                Callable<Void> worker = () -> {
                    for (long seed = next.getAndIncrement(); seed < endSeed; seed = next.getAndIncrement()) {
                        play(seed, failing);
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
        return failing;
    }

    private static void play(long seed, Map<Long, String> failing) {
        List<String> violations =
                VirtualRun.play(FaultSequenceGenerator.draw(seed)).violations();
        if (!violations.isEmpty()) {
            synchronized (failing) {
                if (failing.size() < Integer.getInteger("search.maxFailing", DEFAULT_MAX_FAILING)) {
                    failing.put(seed, violations.get(0));
                }
            }
        }
    }

    private static void report(long seed, String violation) {
        FaultSequence reduced = SequenceReducer.reduce(FaultSequenceGenerator.draw(seed));
        VirtualRun.Result result = VirtualRun.play(reduced);
        System.out.println("fault sequence " + reduced.summary() + ": " + violation);
        System.out.println("reproduce: mvn -B -ntp test -Dtest=FaultSequenceSearchTest -Dsearch.firstSeed=" + seed
                + " -Dsearch.seeds=1");
        reduced.steps().forEach(System.out::println);
        result.violations().forEach(System.out::println);
        result.log().forEach(System.out::println);
    }
}
