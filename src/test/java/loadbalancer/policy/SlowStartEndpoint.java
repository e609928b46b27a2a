package loadbalancer.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Random;
import java.util.function.Consumer;
import loadbalancer.policy.SlowStartScenario.Disturbance;

/** A simulated endpoint: so many requests at once, a short queue behind them, and rejections beyond. */
final class SlowStartEndpoint {
    /** When the endpoints of the scenario start. */
    static final double START_AT = 15_000;

    private static final double RESETS_EVERY_MILLIS = 5000;
    private static final double RESETS_MILLIS = 1000;
    private static final double RESET_AFTER_MILLIS = 20;
    private static final double REJECTED_AFTER_MILLIS = 2;

    private final String id;
    private final SlowStartScenario scenario;
    private final SimulatedClock clock;
    private final Random random;
    private final List<Double> arrivals = new ArrayList<>();
    private final Queue<Runnable> queue = new ArrayDeque<>();
    private double startedAt = Double.NEGATIVE_INFINITY;
    private int busy;

    SlowStartEndpoint(String id, SlowStartScenario scenario, SimulatedClock clock, Random random) {
        this.id = id;
        this.scenario = scenario;
        this.clock = clock;
        this.random = random;
    }

    /** Its process starts anew; one that never did started long ago. */
    void restart() {
        startedAt = clock.now();
    }

    double startedAt() {
        return startedAt;
    }

    Endpoint listEntry(String zone) {
        return new Endpoint(id, EndpointStatus.READY, 1, zone, 0, Math.max(0, startedAt));
    }

    /** A request arrives, and its attempt ends so; one that takes longer than the timeout ends twice. */
    void receive(double timeoutMillis, Consumer<AttemptOutcome> end) {
        double now = clock.now();
        arrivals.add(now);
        if (busy + queue.size() >= scenario.maxAccepted()) {
            clock.at(now + REJECTED_AFTER_MILLIS, () -> end.accept(AttemptOutcome.REJECTED));
            return;
        }
        clock.at(now + timeoutMillis, () -> end.accept(AttemptOutcome.TIMED_OUT));
        if (resets(now)) {
            clock.at(now + RESET_AFTER_MILLIS, () -> end.accept(AttemptOutcome.RESET));
            return;
        }
        Runnable work = () -> execute(() -> end.accept(AttemptOutcome.SUCCESS));
        if (busy < scenario.slots()) {
            work.run();
        } else {
            queue.add(work);
        }
    }

    private boolean resets(double now) {
        return scenario.has(Disturbance.RESETS)
                && startedAt < 0
                && now > START_AT
                && (now - START_AT) % RESETS_EVERY_MILLIS < RESETS_MILLIS;
    }

    // What it can serve changes the time that one request takes.
    private void execute(Runnable done) {
        busy++;
        double capacityPerSecond = scenario.ratePerSecond() * scenario.capacityFraction(clock.now() - startedAt);
        double meanMillis = scenario.slots() / capacityPerSecond * 1000;
        clock.at(clock.now() + meanMillis * (0.7 + 0.6 * random.nextDouble()), () -> {
            done.run();
            busy--;
            if (!queue.isEmpty()) {
                queue.remove().run();
            }
        });
    }

    /** Requests that arrived between these times, the second one excluded. */
    long arrivalsBetween(double from, double until) {
        return arrivals.stream().filter(at -> at >= from && at < until).count();
    }

    /** The greatest share that it got of what it bears in a window, counted by the least capacity of the window. */
    double worstOverload() {
        OperatorRules rules = scenario.rules();
        double windowMillis = rules.overloadWindowMillis();
        List<Double> sinceStart =
                arrivals.stream().filter(at -> at >= startedAt).toList();
        double worst = 0;
        int from = 0;
        for (int to = 0; to < sinceStart.size(); to++) {
            while (sinceStart.get(from) <= sinceStart.get(to) - windowMillis) {
                from++;
            }
            double windowBegin = Math.max(startedAt, sinceStart.get(to) - windowMillis);
            double multiple = rules.overloadMultiple()
                    * scenario.ratePerSecond()
                    * scenario.capacityFraction(windowBegin - startedAt)
                    * windowMillis
                    / 1000;
            worst = Math.max(worst, (to - from + 1) / (multiple + 2 * Math.sqrt(multiple) + 2));
        }
        return worst;
    }
}
