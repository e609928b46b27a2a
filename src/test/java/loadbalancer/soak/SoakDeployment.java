package loadbalancer.soak;

import java.util.List;
import java.util.Random;
import loadbalancer.testing.TestSidecar;

/**
 * A deployment drawn from a seed: what the settings of all sidecars of a run say. Times are in milliseconds.
 *
 * @param listMode {@code ask} or {@code push}
 * @param fleetSize what the settings say of the number of sidecars; not always as many as run
 * @param deadlineMillis the longest deadline of all classes
 */
record SoakDeployment(
        int sidecars,
        int fleetSize,
        int endpoints,
        String listMode,
        long deadlineMillis,
        long graceMillis,
        long windowMillis,
        int maxAttempts,
        boolean mayDuplicate,
        boolean cancel,
        int clientsPerSidecar) {
    /** Descriptors of each process. */
    static final int SOCKETS = 512;

    static final double OVERLOAD_MULTIPLE = 4;
    static final double OVERLOAD_WINDOW_MILLIS = 1500;
    static final double SLOW_START_FRACTION = 0.33;
    static final double SLOW_START_MILLIS = 6000;

    private static final List<Integer> DEADLINES_MILLIS = List.of(150, 400, 1000, 2000, 4000, 10_000);
    private static final int MIN_SIDECARS = 10;
    private static final int MAX_SIDECARS = 20;
    private static final int CROWD_SIDECARS = 40;

    /** Draws a deployment. */
    static SoakDeployment draw(Random random) {
        boolean many = random.nextInt(6) == 0;
        int sidecars = many ? CROWD_SIDECARS : MIN_SIDECARS + random.nextInt(MAX_SIDECARS - MIN_SIDECARS + 1);
        boolean crowd = !many && random.nextInt(3) == 0;
        return new SoakDeployment(
                sidecars,
                random.nextBoolean() ? sidecars : 100,
                6 + random.nextInt(5),
                random.nextBoolean() ? "push" : "ask",
                DEADLINES_MILLIS.get(random.nextInt(DEADLINES_MILLIS.size())),
                300 + random.nextInt(700),
                500 + random.nextInt(4000),
                1 + random.nextInt(5),
                random.nextBoolean(),
                random.nextBoolean(),
                crowd ? 8 : 2);
    }

    /** Returns the configuration of one sidecar. */
    String configuration(String listen, String discovery, String seed, String knownList) throws java.io.IOException {
        String json = TestSidecar.config(listen, discovery, SOCKETS)
                .replace("8c1f30d27a5be964", seed)
                .replace("\"deadline\":60000", "\"deadline\":" + deadlineMillis)
                .replaceAll("\"slo\":\\d+", "\"slo\":" + deadlineMillis / 2)
                .replace("\"window\":5000", "\"window\":" + windowMillis)
                .replace("\"attempts_cap\":6", "\"attempts_cap\":" + maxAttempts)
                .replace("\"may_duplicate\":true", "\"may_duplicate\":" + mayDuplicate)
                .replace("\"cancel\":true", "\"cancel\":" + cancel)
                .replace("\"drain_grace\":2000", "\"drain_grace\":" + graceMillis)
                .replace("\"overload_for\":1500", "\"overload_for\":" + (long) OVERLOAD_WINDOW_MILLIS)
                .replace("\"cold_share\":0.12", "\"cold_share\":" + SLOW_START_FRACTION)
                .replace("\"cold\":24000", "\"cold\":" + (long) SLOW_START_MILLIS)
                .replace("\"discovery\":\"ask\"", "\"discovery\":\"" + listMode + "\"")
                .replace("\"peers_total\":1", "\"peers_total\":" + fleetSize);
        int from = json.indexOf("\"known\":") + "\"known\":".length();
        int to = json.indexOf("\"settings\":");
        return json.substring(0, from) + knownList + ",\n " + json.substring(to);
    }

    /** Returns true if lists come from a local agent. */
    boolean listPushed() {
        return listMode.equals("push");
    }

    /** How long after SIGTERM a SIGKILL may come. */
    long earliestKillMillis() {
        return Math.min(3000, deadlineMillis) + 700;
    }
}
