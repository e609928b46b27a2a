package loadbalancer.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * The faults of a run, drawn from its seed before it begins: what happens when. They overlap in time. Times are in
 * milliseconds since all processes were ready.
 */
final class SoakFaults {
    /** From then on nothing new happens, and what has happened must come right. */
    static final int END_MILLIS = 15_000;

    private static final int LAST_START_MILLIS = 11_000;
    private static final int MAX_TERMINATIONS = 4;

    /** Something that happens at a time. */
    record Fault(int atMillis, Action action) {}

    /** What happens. */
    interface Action {
        void run(SoakRun run) throws Exception;
    }

    private final Random random;
    private final SoakDeployment deployment;
    private final List<Fault> faults = new ArrayList<>();

    private SoakFaults(Random random, SoakDeployment deployment) {
        this.random = random;
        this.deployment = deployment;
    }

    /** Draws the faults of a run. */
    static List<Fault> draw(Random random, SoakDeployment deployment) {
        SoakFaults drawn = new SoakFaults(random, deployment);
        drawn.drawDiscoveryFaults();
        drawn.drawEndpointFaults();
        drawn.drawListChanges();
        drawn.drawSignals();
        return drawn.faults;
    }

    private void at(int millis, Action action) {
        faults.add(new Fault(millis, action));
    }

    private int startMillis() {
        return random.nextInt(LAST_START_MILLIS);
    }

    private int between(int min, int max) {
        return min + random.nextInt(max - min);
    }

    private void drawDiscoveryFaults() {
        int atMillis = between(500, 5000);
        for (int i = random.nextInt(3); i > 0; i--) {
            int untilMillis = atMillis + between(500, 4000);
            if (random.nextBoolean()) {
                at(Math.max(0, atMillis - between(300, 3000)), run -> run.discovery()
                        .setWatchesShort(true));
                at(atMillis, run -> run.discovery().setWatchesShort(false));
            }
            at(atMillis, run -> run.discovery().setCallsFaulty(true));
            at(untilMillis, run -> run.discovery().setCallsFaulty(false));
            atMillis = untilMillis + between(500, 2000);
        }
    }

    private void drawEndpointFaults() {
        SoakEndpoint.Behaviour[] behaviours = SoakEndpoint.Behaviour.values();
        for (int i = between(3, 9); i > 0; i--) {
            int endpoint = random.nextInt(deployment.endpoints());
            SoakEndpoint.Behaviour behaviour = behaviours[random.nextInt(behaviours.length)];
            int fromMillis = startMillis();
            at(fromMillis, run -> run.endpoint(endpoint).behave(behaviour));
            at(fromMillis + between(300, 4000), run -> run.endpoint(endpoint).behave(SoakEndpoint.Behaviour.SERVE));
        }
    }

    // Less than half of the endpoints leave.
    private void drawListChanges() {
        int leaving = 1 + random.nextInt(deployment.endpoints() / 2);
        for (int endpoint = 0; endpoint < leaving; endpoint++) {
            int leaves = endpoint;
            int fromMillis = startMillis();
            if (random.nextInt(4) == 0) {
                at(fromMillis, run -> run.changeEndpoint(leaves, "gone"));
            } else {
                at(fromMillis, run -> run.changeEndpoint(leaves, "draining"));
                at(fromMillis + between(1000, 4000), run -> run.changeEndpoint(leaves, "gone"));
            }
        }
        for (int i = random.nextInt(3); i > 0; i--) {
            at(startMillis(), SoakRun::startEndpoint);
        }
    }

    private void drawSignals() {
        for (int i = between(2, 8); i > 0; i--) {
            int sidecar = random.nextInt(deployment.sidecars());
            at(startMillis(), run -> run.sidecar(sidecar).pause());
        }
        for (int i = random.nextInt(3); i > 0; i--) {
            int sidecar = random.nextInt(deployment.sidecars());
            int fromMillis = startMillis();
            int stepMillis = between(200, 1000);
            for (int move = between(1, 7); move > 0; move--) {
                at(fromMillis + move * stepMillis, run -> run.move(sidecar));
            }
        }
        int firstMillis = startMillis();
        int seriesMillis = between(50, 1200);
        int restarted = 1 + random.nextInt(Math.max(1, deployment.sidecars() / 4));
        for (int sidecar = 0; sidecar < restarted; sidecar++) {
            int index = sidecar;
            int terminations = random.nextInt(3) > 0 ? 1 + random.nextInt(MAX_TERMINATIONS) : 0;
            at(firstMillis + sidecar * seriesMillis, run -> run.restart(index, terminations));
            if (random.nextBoolean()) {
                at(firstMillis + sidecar * seriesMillis + between(0, 1500), run -> run.move(index));
            }
        }
    }
}
