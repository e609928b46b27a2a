package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The calls to discovery after one has failed: early enough for each sidecar, not at once for all. */
class ListCallTest {
    /** What discovery has to tell counts as told so long after it can be reached. */
    private static final double TOLD = 6000;
    /** After so long in its queue discovery turns a call away. */
    private static final double QUEUE_MOST = 2000;

    private static Rig rig(int sidecars, double askWithin, long seed) {
        PolicySettings s = Rig.settings(
                false,
                new RequestClass(
                        "slow", 1, 0, 20_000, 30_000, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, false));
        OperatorRules o = s.rules();
        OperatorRules within = new OperatorRules(
                o.drainGraceMillis(),
                o.overloadMultiple(),
                o.overloadWindowMillis(),
                o.slowStartInitialFraction(),
                o.slowStartMillis(),
                askWithin);
        PolicySettings all =
                new PolicySettings(s.classes(), s.tenants(), 1, s.limits(), within, s.reporting(), true, sidecars, 0);
        Rig rig = new Rig(all, seed);
        rig.module.start(0);
        rig.module.endpointsChanged(0, WatchEvent.STALE_SNAPSHOT, Rig.fleet(4));
        return rig;
    }

    /** When the next call begins. */
    private static double nextCall(Rig rig, double from) {
        int before = rig.watches;
        for (double now = from; now < from + 100_000; now++) {
            rig.runTo(now);
            if (rig.watches > before) {
                return now;
            }
        }
        throw new AssertionError("never asked again");
    }

    @Test
    void twoCallsFitIntoTheTimeAfterWhichAChangeCountsAsToldWhateverIsDrawn() {
        for (int sidecars : new int[] {1, 5, 14, 100, 840, 8400}) {
            for (double askWithin : new double[] {500, 2000, 10_000, 600_000}) {
                for (int seed = 0; seed < 10; seed++) {
                    Rig rig = rig(sidecars, askWithin, seed);
                    double now = rig.watches > 0 ? 0 : nextCall(rig, 1);
                    for (int i = 0; i < 6; i++) {
                        // Discovery comes back the moment after a call failed, and turns the next one away.
                        rig.module.endpointsChanged(now, WatchEvent.FAILED, List.of());
                        double first = nextCall(rig, now);
                        rig.module.endpointsChanged(first + QUEUE_MOST, WatchEvent.FAILED, List.of());
                        double second = nextCall(rig, first + QUEUE_MOST);
                        assertTrue(
                                second - now < TOLD - 900,
                                sidecars + " sidecars, " + askWithin + ": called after " + (first - now) + " and "
                                        + (second - now));
                        now = second + i * 100;
                    }
                }
            }
        }
    }

    /** One queue with a service time, down at first; it serves in turn, not what has waited too long. */
    private static final class Discovery {
        final ArrayDeque<double[]> queue = new ArrayDeque<>();
        final List<Double> calls = new ArrayList<>();
        double freeAt;
        double lastTold;
    }

    /** Plays an outage of 8 s that begins with all watches failing, and the return. */
    private static Discovery outage(int sidecars, double service) {
        double back = 8000;
        List<Rig> rigs = new ArrayList<>();
        int[] seen = new int[sidecars];
        for (int i = 0; i < sidecars; i++) {
            Rig rig = rig(sidecars, 10_000, i);
            rig.runTo(5000);
            assertEquals(1, rig.watches);
            rig.module.endpointsChanged(5000, WatchEvent.SNAPSHOT, Rig.fleet(4));
            rig.module.endpointsChanged(5000, WatchEvent.FAILED, List.of());
            seen[i] = 1;
            rigs.add(rig);
        }
        Discovery d = new Discovery();
        for (double now = 0; now < back + 12_000; now += 10) {
            for (int i = 0; i < sidecars; i++) {
                Rig rig = rigs.get(i);
                rig.runTo(5000 + now);
                if (rig.watches > seen[i]) {
                    seen[i] = rig.watches;
                    d.calls.add(now);
                    if (now < back) {
                        rig.module.endpointsChanged(5000 + now, WatchEvent.FAILED, List.of());
                    } else {
                        d.queue.add(new double[] {i, now});
                    }
                }
            }
            while (!d.queue.isEmpty() && (d.freeAt <= now || now - d.queue.peek()[1] >= QUEUE_MOST)) {
                double[] call = d.queue.poll();
                boolean served = now - call[1] < QUEUE_MOST;
                WatchEvent kind = served ? WatchEvent.SNAPSHOT : WatchEvent.FAILED;
                rigs.get((int) call[0]).module.endpointsChanged(5000 + now, kind, served ? Rig.fleet(4) : List.of());
                if (served) {
                    d.freeAt = Math.max(call[1], d.freeAt) + service;
                    d.lastTold = now - back;
                }
            }
        }
        return d;
    }

    @Test
    void aDiscoveryThatComesBackIsNotMetByAllAtOnceAndTellsAllInTime() {
        for (int sidecars : new int[] {14, 100, 840}) {
            // It needs 3 s for all of them, however they come.
            Discovery d = outage(sidecars, 3000.0 / sidecars);
            assertTrue(d.lastTold < TOLD - 500, sidecars + " sidecars: the last told after " + d.lastTold);
            // From when the waits have grown, over the return, to the end.
            for (double from = 5000; from < 14_000; from += 100) {
                double begin = from;
                long calls = d.calls.stream()
                        .filter(at -> at >= begin && at < begin + 1000)
                        .count();
                assertTrue(
                        calls <= 1.3 * sidecars + 4,
                        sidecars + " sidecars called " + calls + " times in the second from " + from);
                long burst = d.calls.stream()
                        .filter(at -> at >= begin && at < begin + 100)
                        .count();
                assertTrue(
                        burst <= 0.16 * sidecars + 5,
                        sidecars + " sidecars called " + burst + " times in the tenth from " + from);
            }
        }
    }
}
