package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;

/**
 * An outage of discovery that begins with all watches failing, and its return.
 *
 * <p>Discovery is one queue with a service time; it serves in turn and rejects what has waited too long.
 */
final class DiscoveryOutage {
    /** After so long in its queue discovery rejects a call. */
    static final double MAX_QUEUE_MILLIS = 2000;

    private static final double BEGIN = 5000;
    private static final double OUTAGE_MILLIS = 8000;
    private static final double WATCHED_AFTER_RETURN_MILLIS = 12_000;
    private static final double STEP_MILLIS = 10;
    private static final double POLL_DEADLINE_MILLIS = 10_000;

    private record Call(int sidecar, double madeAt) {}

    private final double serviceMillis;
    private final List<PolicyHarness> sidecars = new ArrayList<>();
    private final int[] watchesSeen;
    private final Queue<Call> queue = new ArrayDeque<>();
    private final List<Double> calls = new ArrayList<>();
    private double freeAt;
    private double lastServedAfterMillis;

    DiscoveryOutage(int sidecarCount, double serviceMillis) {
        this.serviceMillis = serviceMillis;
        watchesSeen = new int[sidecarCount];
        for (int i = 0; i < sidecarCount; i++) {
            PolicyHarness sidecar = EndpointListPollingTest.sidecar(sidecarCount, POLL_DEADLINE_MILLIS, i);
            sidecar.runTo(BEGIN);
            assertEquals(1, sidecar.watches());
            sidecar.snapshot(BEGIN, Endpoints.fleet(4));
            sidecar.watchEvent(BEGIN, WatchEvent.FAILED);
            watchesSeen[i] = 1;
            sidecars.add(sidecar);
        }
    }

    void run() {
        for (double elapsed = 0; elapsed < OUTAGE_MILLIS + WATCHED_AFTER_RETURN_MILLIS; elapsed += STEP_MILLIS) {
            for (int i = 0; i < sidecars.size(); i++) {
                takeCall(elapsed, i);
            }
            while (!queue.isEmpty()
                    && (freeAt <= elapsed || elapsed - queue.peek().madeAt() >= MAX_QUEUE_MILLIS)) {
                answer(elapsed, queue.remove());
            }
        }
    }

    private void takeCall(double elapsed, int number) {
        PolicyHarness sidecar = sidecars.get(number);
        sidecar.runTo(BEGIN + elapsed);
        if (sidecar.watches() == watchesSeen[number]) {
            return;
        }
        watchesSeen[number] = sidecar.watches();
        calls.add(elapsed);
        if (elapsed < OUTAGE_MILLIS) {
            sidecar.watchEvent(BEGIN + elapsed, WatchEvent.FAILED);
        } else {
            queue.add(new Call(number, elapsed));
        }
    }

    private void answer(double elapsed, Call call) {
        PolicyHarness sidecar = sidecars.get(call.sidecar());
        if (elapsed - call.madeAt() >= MAX_QUEUE_MILLIS) {
            sidecar.watchEvent(BEGIN + elapsed, WatchEvent.FAILED);
            return;
        }
        sidecar.snapshot(BEGIN + elapsed, Endpoints.fleet(4));
        freeAt = Math.max(call.madeAt(), freeAt) + serviceMillis;
        lastServedAfterMillis = elapsed - OUTAGE_MILLIS;
    }

    /** How long after discovery's return the last sidecar was served. */
    double lastServedAfterMillis() {
        return lastServedAfterMillis;
    }

    /** Calls made between these times since the outage began, the second one excluded. */
    long callsBetween(double from, double until) {
        return calls.stream().filter(at -> at >= from && at < until).count();
    }
}
