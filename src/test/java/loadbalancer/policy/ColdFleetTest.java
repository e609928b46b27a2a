package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * What cold servers get from all sidecars together. Every sidecar decides for itself and knows no capacity, but
 * a cold server falls under the sum: over N + 2 x root of N + 2 requests in a window, N being the settings'
 * multiple of what it can serve then.
 */
class ColdFleetTest {
    private static final RequestClass KIND =
            new RequestClass("k", 1, 0, 800, 2000, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 5000, false);
    private static final RequestClass KEYED =
            new RequestClass("k", 1, 0, 800, 2000, Idempotency.WITH_KEY, DeduplicationScope.ZONE, 5000, false);
    private static final OperatorRules RULE = new OperatorRules(1000, 4, 2000, 0.2, 20_000, 10_000);
    private static final int SEEDS = Integer.getInteger("coldfleet.seeds", 5);
    private static final double COLD_AT = 15_000;
    private static final double ROLL = 300;
    private static final double SETTLED = 5000;

    /** One fleet; {@code load} is the share of the capacity of all its servers when warm, {@code rate} of one. */
    private record Scenario(
            String name,
            int sidecars,
            int servers,
            double rate,
            double load,
            int cold,
            Trouble trouble,
            OperatorRules rule) {
        static Scenario of(String name, int sidecars, int servers, double rate, double load, int cold, String what) {
            return new Scenario(name, sidecars, servers, rate, load, cold, Trouble.of(what), RULE);
        }

        Scenario under(double fallMultiple, double fallTime, double coldShare, double coldTime) {
            return new Scenario(
                    name,
                    sidecars,
                    servers,
                    rate,
                    load,
                    cold,
                    trouble,
                    new OperatorRules(1000, fallMultiple, fallTime, coldShare, coldTime, 10_000));
        }

        @Override
        public String toString() {
            return name;
        }
    }

    /**
     * What comes with the cold start. Uneven: a sixth of the sidecars has four times the mean load. Burst: so many
     * times the load, for three seconds in each seven, or for one in each nine if sharp. Idle: no request from eight
     * seconds before the start to a quarter of the cold time after it. Join: the cold servers are new ones, else
     * known ones come back. Again: clients that are refused come again. Roll: one cold start after another. Resets:
     * for one second in five every warm server resets what it gets, and what may be repeated in its zone alone is.
     */
    private record Trouble(
            boolean uneven,
            double burst,
            double each,
            double lasts,
            boolean idle,
            boolean join,
            boolean again,
            boolean roll,
            boolean resets) {
        static Trouble of(String what) {
            return new Trouble(
                    what.contains("uneven"),
                    what.contains("sharp") ? 8 : what.contains("burst") ? 2.5 : 1,
                    what.contains("sharp") ? 9000 : 7000,
                    what.contains("sharp") ? 1000 : 3000,
                    what.contains("idle"),
                    what.contains("join"),
                    what.contains("again"),
                    what.contains("roll"),
                    what.contains("resets"));
        }
    }

    static Stream<Scenario> scenarios() {
        return Stream.of(
                Scenario.of("30 sidecars, one cold", 30, 20, 20, 0.6, 1, ""),
                Scenario.of("one sidecar", 1, 12, 20, 0.75, 2, "burst again"),
                Scenario.of("one sidecar, light", 1, 12, 3, 0.5, 3, "burst again"),
                Scenario.of("one sidecar, sharp bursts", 1, 6, 5, 0.75, 3, "sharp join again"),
                Scenario.of("one sidecar, few servers", 1, 2, 20, 0.75, 1, "burst again"),
                Scenario.of("two sidecars", 2, 12, 10, 0.75, 4, "uneven burst again"),
                Scenario.of("two sidecars, resets", 2, 12, 10, 0.6, 4, "resets burst again"),
                Scenario.of("three sidecars, joining", 3, 12, 5, 0.75, 6, "join sharp again"),
                Scenario.of("5 sidecars", 5, 12, 20, 0.75, 2, "burst again"),
                Scenario.of("10 sidecars", 10, 12, 5, 0.75, 6, "uneven burst again"),
                Scenario.of("20 sidecars, a quarter cold", 20, 12, 20, 0.7, 3, "burst again"),
                Scenario.of("100 sidecars", 100, 40, 10, 0.7, 6, "burst again"),
                Scenario.of("100 sidecars, few servers", 100, 12, 20, 0.6, 2, "burst again"),
                Scenario.of("30 sidecars, light", 30, 20, 3, 0.1, 3, "burst"),
                Scenario.of("100 sidecars, light", 100, 12, 3, 0.1, 3, "uneven sharp"),
                Scenario.of("small servers", 30, 12, 3, 0.5, 4, "burst again"),
                Scenario.of("uneven", 30, 20, 20, 0.6, 4, "uneven"),
                Scenario.of("uneven, burst", 30, 20, 10, 0.75, 6, "uneven burst again"),
                Scenario.of("six in ten cold", 30, 20, 20, 0.5, 12, ""),
                Scenario.of("six in ten cold, burst", 30, 20, 20, 0.75, 12, "burst again"),
                Scenario.of("six in ten cold, uneven burst", 100, 40, 5, 0.75, 24, "uneven burst again"),
                Scenario.of("joining", 30, 20, 20, 0.7, 6, "join burst"),
                Scenario.of("joining at a low share", 100, 20, 10, 0.7, 6, "join burst")
                        .under(4, 2000, 0.1, 9000),
                Scenario.of("long idle", 30, 20, 10, 0.7, 6, "idle"),
                Scenario.of("long idle, burst", 100, 20, 5, 0.7, 6, "idle uneven burst again"),
                Scenario.of("low multiple", 30, 20, 20, 0.75, 12, "burst again").under(1.5, 2000, 0.2, 20_000),
                Scenario.of("multiple of two", 20, 20, 20, 0.75, 12, "burst again")
                        .under(2, 1000, 0.1, 20_000),
                Scenario.of("one after another", 30, 40, 5, 0.75, 40, "roll burst again"),
                Scenario.of("rolling, light", 100, 20, 3, 0.5, 19, "roll burst").under(4, 1000, 0.2, 60_000),
                Scenario.of("resets", 100, 40, 3, 0.75, 24, "resets join burst").under(4, 1000, 0.33, 60_000),
                Scenario.of("resets, some cold", 100, 40, 3, 0.5, 12, "resets join burst")
                        .under(3, 2000, 0.33, 60_000),
                Scenario.of("resets, few sidecars", 30, 20, 5, 0.75, 12, "resets burst again")
                        .under(3, 1000, 0.2, 20_000));
    }

    @ParameterizedTest
    @MethodSource("scenarios")
    void noColdServerGetsMoreFromTheFleetThanItBears(Scenario s) {
        double worst = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            worst = Math.max(worst, new Fleet(s, seed).run().worst());
        }
        assertTrue(worst <= 1, s.name() + ": of what a cold server bears it got " + worst);
    }

    @Test
    void aColdServerGetsItsPartOnceItIsSomeSecondsOld() {
        partOf(Scenario.of("5 sidecars", 5, 12, 20, 0.6, 2, ""), 0.5);
        partOf(Scenario.of("30 sidecars", 30, 20, 20, 0.6, 4, ""), 0.5);
        partOf(Scenario.of("100 sidecars", 100, 20, 10, 0.6, 4, ""), 0.5);
        // A request in three seconds from each: a bucket takes as long to fill as a server to warm.
        partOf(Scenario.of("100 sidecars, light", 100, 20, 3, 0.5, 4, ""), 0.4);
    }

    private static void partOf(Scenario s, double least) {
        double part = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            part += new Fleet(s, seed).run().part() / SEEDS;
        }
        assertTrue(part > least, s + ": of what it got when warm, for what it can serve: " + part);
    }

    /** One server: so many requests at once, a short queue behind them, and full beyond. */
    private static final class Machine {
        final String id;
        double startedAt = Double.NEGATIVE_INFINITY;
        final List<Double> sent = new ArrayList<>();
        final ArrayDeque<Runnable> queue = new ArrayDeque<>();
        int busy;

        Machine(String id) {
            this.id = id;
        }
    }

    /** All sidecars and servers under one simulated clock. */
    private static final class Fleet {
        private final Scenario s;
        private final Trouble trouble;
        private final Random random;
        private final PriorityQueue<Event> events = new PriorityQueue<>();
        private final List<Sidecar> sidecars = new ArrayList<>();
        private final List<Machine> machines = new ArrayList<>();
        private final PolicySettings settings;
        private double now;
        private long ids;

        private record Event(double at, long id, Runnable what) implements Comparable<Event> {
            @Override
            public int compareTo(Event o) {
                return at != o.at ? Double.compare(at, o.at) : Long.compare(id, o.id);
            }
        }

        Fleet(Scenario s, long seed) {
            this.s = s;
            trouble = s.trouble();
            random = new Random(seed);
            PolicySettings one = Rig.settings(false, trouble.resets() ? KEYED : KIND);
            settings = new PolicySettings(
                    one.classes(),
                    one.tenants(),
                    1,
                    one.limits(),
                    s.rule(),
                    LoadReporting.NONE,
                    false,
                    s.sidecars(),
                    0);
            for (int i = 0; i < s.servers(); i++) {
                machines.add(new Machine("s" + i));
            }
            for (int i = 0; i < s.sidecars(); i++) {
                sidecars.add(new Sidecar(random.nextLong()));
            }
        }

        void at(double time, Runnable what) {
            events.add(new Event(Math.max(now, time), ids++, what));
        }

        private Endpoint entry(Machine m) {
            return new Endpoint(
                    m.id, EndpointStatus.READY, 1, "z" + machines.indexOf(m) / 4, 0, Math.max(0, m.startedAt));
        }

        Fleet run() {
            List<Endpoint> before = machines.stream()
                    .filter(m -> !trouble.join() || !cold().contains(m))
                    .map(this::entry)
                    .toList();
            double mean = s.load() * s.servers() * s.rate() / s.sidecars() / 1000;
            for (int i = 0; i < sidecars.size(); i++) {
                Sidecar c = sidecars.get(i);
                c.module.start(0);
                c.module.endpointsChanged(0, WatchEvent.SNAPSHOT, before);
                // A sixth of an uneven fleet has four times the mean, the rest two fifths of it.
                arrive(c, mean * (!trouble.uneven() ? 1 : i % 6 == 0 ? 4 : 0.4));
            }
            for (int i = 0; i < s.cold(); i++) {
                Machine m = cold().get(i);
                at(COLD_AT + (trouble.roll() ? i * ROLL : 0), () -> {
                    m.startedAt = now;
                    List<Endpoint> entry = List.of(entry(m));
                    sidecars.forEach(c -> c.module.endpointsChanged(now, WatchEvent.DELTA, entry));
                });
            }
            while (events.peek().at() < COLD_AT + s.rule().slowStartMillis()) {
                Event e = events.poll();
                now = e.at();
                e.what().run();
            }
            return this;
        }

        // A Poisson process at the highest rate, thinned to the rate of the moment.
        private void arrive(Sidecar c, double rate) {
            double most = rate * Math.max(1, trouble.burst());
            at(now - Math.log(1 - random.nextDouble()) / most, () -> {
                if (random.nextDouble() * Math.max(1, trouble.burst()) < times()) {
                    c.ask();
                }
                arrive(c, rate);
            });
        }

        private double times() {
            double since = now - COLD_AT;
            if (trouble.idle() && since > -8000 && since < s.rule().slowStartMillis() / 4) {
                return 0;
            }
            return since >= 0 && since % trouble.each() < trouble.lasts() ? trouble.burst() : 1;
        }

        private double warmth(double age) {
            return Math.min(
                    1,
                    s.rule().slowStartInitialFraction()
                            + (1 - s.rule().slowStartInitialFraction())
                                    * age
                                    / s.rule().slowStartMillis());
        }

        // Spread over the fleet by a step that shares no factor with its size.
        private List<Machine> cold() {
            return IntStream.range(0, s.cold())
                    .mapToObj(i -> machines.get(i * 7 % s.servers()))
                    .toList();
        }

        private int slots() {
            return (int) Math.max(1, s.rate() / 10);
        }

        // What it can serve changes the time that one request takes.
        private void take(Machine m, Runnable done) {
            m.busy++;
            double time = slots() / (s.rate() * warmth(now - m.startedAt)) * 1000;
            at(now + time * (0.7 + 0.6 * random.nextDouble()), () -> {
                done.run();
                m.busy--;
                if (!m.queue.isEmpty()) {
                    m.queue.poll().run();
                }
            });
        }

        /** The greatest share that a cold server got of what it bears, N being the least of the window. */
        double worst() {
            OperatorRules o = settings.rules();
            double worst = 0;
            for (Machine m : cold()) {
                List<Double> sent =
                        m.sent.stream().filter(t -> t >= m.startedAt).toList();
                for (int from = 0, to = 0; to < sent.size(); to++) {
                    while (sent.get(from) <= sent.get(to) - o.overloadWindowMillis()) {
                        from++;
                    }
                    double begin = Math.max(m.startedAt, sent.get(to) - o.overloadWindowMillis());
                    double n = o.overloadMultiple()
                            * s.rate()
                            * warmth(begin - m.startedAt)
                            * o.overloadWindowMillis()
                            / 1000;
                    worst = Math.max(worst, (to - from + 1) / (n + 2 * Math.sqrt(n) + 2));
                }
            }
            return worst;
        }

        /** What the cold servers got from some seconds on, against what they got when warm for what they serve. */
        double part() {
            double end = COLD_AT + s.rule().slowStartMillis();
            double cold = 0;
            double warm = 0;
            for (Machine m : cold()) {
                cold += m.sent.stream().filter(t -> t >= COLD_AT + SETTLED).count();
                warm += m.sent.stream().filter(t -> t >= 5000 && t < COLD_AT).count();
            }
            double fraction = (warmth(SETTLED) + warmth(s.rule().slowStartMillis())) / 2;
            return cold / (warm / (COLD_AT - 5000) * fraction * (end - COLD_AT - SETTLED));
        }

        private final class Sidecar implements PolicyActions {
            private final LossThrottlingPolicy module;
            private final Map<Long, Integer> attempts = new HashMap<>();

            Sidecar(long seed) {
                module = new LossThrottlingPolicy(settings, seed, this);
            }

            void ask() {
                module.requestArrived(now, new PolicyRequest(ids++, 0, -1, KIND.deadlineMillis(), false));
            }

            @Override
            public void forward(PolicyRequest r, String server, double within) {
                Machine m = machines.get(Integer.parseInt(server.substring(1)));
                m.sent.add(now);
                double sentAt = now;
                int attempt = attempts.merge(r.id(), 1, Integer::sum) - 1;
                boolean[] ended = new boolean[1];
                Consumer<AttemptOutcome> end = o -> {
                    if (!ended[0]) {
                        ended[0] = true;
                        module.attemptEnded(now, r, attempt, o, now - sentAt, o == AttemptOutcome.SUCCESS, null);
                    }
                };
                if (m.busy + m.queue.size() >= 4 * slots() + 4) {
                    at(now + 2, () -> end.accept(AttemptOutcome.REJECTED));
                    return;
                }
                at(now + (within > 0 ? within : KIND.deadlineMillis()), () -> end.accept(AttemptOutcome.TIMED_OUT));
                if (trouble.resets() && m.startedAt < 0 && now > COLD_AT && (now - COLD_AT) % 5000 < 1000) {
                    at(now + 20, () -> end.accept(AttemptOutcome.RESET));
                    return;
                }
                Runnable work = () -> take(m, () -> end.accept(AttemptOutcome.SUCCESS));
                if (m.busy < slots()) {
                    work.run();
                } else {
                    m.queue.add(work);
                }
            }

            @Override
            public void reject(PolicyRequest r, double retryAfter) {
                if (trouble.again() && random.nextDouble() < 0.8) {
                    at(now + retryAfter, this::ask);
                }
            }

            @Override
            public void scheduleWake(double time) {
                at(time, () -> module.wake(now));
            }

            @Override
            public void cancelAttempt(PolicyRequest r, int attempt) {}

            @Override
            public void fail(PolicyRequest r) {}

            @Override
            public void probe(String server) {}

            @Override
            public void watchEndpoints() {}

            @Override
            public void broadcast(byte[] text) {}

            @Override
            public void log(String line) {}
        }
    }
}
