package loadbalancer.faultsearch;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import loadbalancer.faultsearch.Step.Kind;

/** Draws sequences of faults from seeds. */
final class FaultSequenceGenerator {
    /** Nothing new happens later, so that what has happened can be judged. */
    static final int LAST_STEP_MILLIS = 45_000;

    static final int FEW_SIDECARS = 5;
    private static final int MANY_SIDECARS = 100;

    private static final List<Kind> CALL_FAULTS = List.of(
            Kind.REJECT,
            Kind.RESET_CALLS,
            Kind.IGNORE_CALLS,
            Kind.HALF_LIST,
            Kind.SLOW_TURN,
            Kind.LATE_PATH,
            Kind.LATE_PATH,
            Kind.GROWING_PATH,
            Kind.BURST_PATH);
    private static final int MAX_REJECTION_WAIT_MILLIS = 2000;
    private static final int MAX_PATH_DELAY_MILLIS = 7000;
    private static final int MAX_TURN_MILLIS = 5000;
    private static final int MAX_PAUSE_MILLIS = 150;
    private static final int MAX_LAG_MILLIS = 5000;
    /** The whole list comes within two seconds. */
    private static final int MIN_BYTES_PER_SECOND = 700;

    private static final int MAX_KNOWN_LIST_AGE_MILLIS = 10_000;

    private final Random random;
    private final List<Step> steps = new ArrayList<>();

    private FaultSequenceGenerator(long seed) {
        // Neighbouring seeds of this generator begin alike.
        this.random = new Random(seed * 0x9E3779B97F4A7C15L);
    }

    static FaultSequence draw(long seed) {
        FaultSequenceGenerator generator = new FaultSequenceGenerator(seed);
        boolean pushed = generator.random.nextInt(3) == 0;
        int sidecars = generator.random.nextInt(4) == 0 ? MANY_SIDECARS : FEW_SIDECARS;
        boolean tellsChanges = generator.random.nextInt(3) > 0;
        boolean answersNoChange = generator.random.nextInt(4) > 0;
        generator.drawChanges();
        generator.drawFaults();
        return new FaultSequence(seed, pushed, sidecars, tellsChanges, answersNoChange, generator.steps);
    }

    private int below(int bound) {
        return random.nextInt(bound);
    }

    private boolean oneIn(int number) {
        return random.nextInt(number) == 0;
    }

    private void add(Kind kind, int atMillis, int durationMillis, double amount, int target) {
        steps.add(new Step(kind, atMillis, durationMillis, amount, target));
    }

    private void drawChanges() {
        int leaving = 1 + below(VirtualRun.ENDPOINTS - 1);
        for (int endpoint = 0; endpoint < leaving; endpoint++) {
            int atMillis = below(LAST_STEP_MILLIS);
            add(oneIn(4) ? Kind.REMOVE : Kind.DRAIN, atMillis, 0, 0, endpoint);
            if (oneIn(3)) {
                int laterMillis = atMillis + 500 + below(8000);
                add(oneIn(3) ? Kind.TAKE_BACK : Kind.RESTART, laterMillis, 0, 0, endpoint);
            }
        }
    }

    private void drawFaults() {
        boolean throttled = oneIn(6);
        if (throttled) {
            int bytesPerSecond = MIN_BYTES_PER_SECOND + below(oneIn(2) ? 1500 : 6000);
            add(Kind.THROTTLE, oneIn(2) ? 0 : below(20_000), 60_000, bytesPerSecond, 0);
            int fromMillis = below(20_000);
            add(Kind.CHURN, fromMillis, 5000 + below(20_000), 200 + below(1000), 0);
        } else if (oneIn(5)) {
            add(Kind.CHURN, below(20_000), 2000 + below(30_000), 200 + below(3000), 0);
        }
        for (int i = below(4); i > 0; i--) {
            drawCallFault(i == 1 && oneIn(2) ? 0 : below(LAST_STEP_MILLIS));
        }
        if (!throttled) {
            drawConnectionFaults();
        }
        drawServiceFaults();
        drawProcessFaults();
    }

    private void drawCallFault(int atMillis) {
        Kind kind = CALL_FAULTS.get(below(CALL_FAULTS.size()));
        double amount =
                switch (kind) {
                    case REJECT -> oneIn(2) ? 0 : below(MAX_REJECTION_WAIT_MILLIS);
                    case SLOW_TURN -> below(MAX_TURN_MILLIS);
                    case LATE_PATH -> below(MAX_PATH_DELAY_MILLIS);
                    case GROWING_PATH -> random.nextDouble();
                    case BURST_PATH -> 1000 + below(5000);
                    default -> 0;
                };
        add(kind, atMillis, 200 + below(oneIn(3) ? 8000 : 2000), amount, 0);
    }

    private void drawConnectionFaults() {
        for (int i = below(3); i > 0; i--) {
            add(oneIn(3) ? Kind.DARK_FIRST : Kind.DARK_ALL, below(LAST_STEP_MILLIS), 0, 0, 0);
        }
        if (oneIn(3)) {
            add(Kind.END_ALL, below(LAST_STEP_MILLIS), 0, 0, 0);
        }
        if (oneIn(8)) {
            add(Kind.END_AFTER_LIST, below(LAST_STEP_MILLIS), 1000 + below(10_000), 0, 0);
        }
        if (oneIn(4)) {
            add(Kind.LEFT_CALL_ENDS_WATCH, 0, 60_000, 0, 0);
        }
    }

    private void drawServiceFaults() {
        if (oneIn(3)) {
            int atMillis = below(LAST_STEP_MILLIS);
            for (int i = 1 + (oneIn(2) ? 0 : below(6)); i > 0; i--) {
                add(Kind.MOVE, atMillis, 0, 0, 0);
                atMillis += 200 + below(5000);
            }
        }
        if (oneIn(3)) {
            int durationMillis = 5000 + below(40_000);
            add(Kind.LAG, below(20_000), durationMillis, below(MAX_LAG_MILLIS), below(VirtualRun.SERVICES));
        }
        if (oneIn(6)) {
            add(Kind.RESTART_SERVICE, below(LAST_STEP_MILLIS), 0, 0, below(VirtualRun.SERVICES));
        }
    }

    private void drawProcessFaults() {
        for (int i = oneIn(2) ? 0 : below(6); i > 0; i--) {
            add(Kind.PAUSE, below(LAST_STEP_MILLIS), 0, below(MAX_PAUSE_MILLIS), 0);
        }
        if (oneIn(4)) {
            add(Kind.RESTART_PROCESS, below(LAST_STEP_MILLIS), 0, below(MAX_KNOWN_LIST_AGE_MILLIS), 0);
        }
    }
}
