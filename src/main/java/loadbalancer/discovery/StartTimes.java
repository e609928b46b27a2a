package loadbalancer.discovery;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import loadbalancer.eventloop.Clock;
import loadbalancer.policy.Endpoint;
import loadbalancer.policy.EndpointStatus;

/**
 * Converts the start of each endpoint, which discovery tells in Unix time, to the module's clock.
 *
 * <p>That clock begins at Unix time and then follows the monotonic one. Once the wall clock has been stepped, the same
 * Unix time stands for different moments, by whether it was read before or after the step. Of the moments that a start
 * can stand for, the latest that is not in the future is taken: an endpoint may pass for younger than it is, which
 * costs some of its share, but never for older, which would overload it in its slow start.
 */
public final class StartTimes {
    /** Less than this is drift, or a pause between two readings. */
    private static final double MIN_STEP_MS = 100;
    /** Older steps are forgotten: a start from before them is long past by then. */
    private static final int MAX_OFFSETS = 8;

    private static final double MILLIS_PER_SECOND = 1000;

    /** A start as told, and on the module's clock. */
    private record Start(double told, double converted) {}

    private final Clock clock;
    private final Consumer<String> log;
    /** How far the wall clock has been ahead of the module's, the newest offset last. */
    private final ArrayDeque<Double> offsets = new ArrayDeque<>();

    private final Map<String, Start> starts = new HashMap<>();

    /** Knows no endpoint, and a wall clock that has not been stepped. */
    public StartTimes(Clock clock, Consumer<String> log) {
        this.clock = clock;
        this.log = log;
        offsets.add(0.0);
    }

    /** Looks at the wall clock; to be called often, so that no step goes unseen. */
    public void observeWallClock() {
        double offset = clock.wallClockOffset();
        double step = offset - offsets.peekLast();
        if (Math.abs(step) < MIN_STEP_MS) {
            return;
        }
        log.accept("the wall clock was stepped by " + Math.round(step) / MILLIS_PER_SECOND + " s");
        offsets.addLast(offset);
        if (offsets.size() > MAX_OFFSETS) {
            offsets.removeFirst();
        }
    }

    /** The endpoints of this list for the module, with their starts on its clock. */
    public List<Endpoint> convert(EndpointList list) {
        observeWallClock();
        if (list.snapshot()) {
            forgetAllBut(list.entries());
        }
        List<Endpoint> converted = new ArrayList<>(list.entries().size());
        for (EndpointList.Entry entry : list.entries()) {
            converted.add(convert(entry.endpoint()));
        }
        return converted;
    }

    private void forgetAllBut(List<EndpointList.Entry> entries) {
        Set<String> named = new HashSet<>();
        for (EndpointList.Entry entry : entries) {
            named.add(entry.endpoint().id());
        }
        starts.keySet().retainAll(named);
    }

    private Endpoint convert(Endpoint server) {
        if (server.status() == EndpointStatus.REMOVED) {
            starts.remove(server.id());
            return server;
        }
        Start start = starts.get(server.id());
        if (start == null || start.told != server.startedAtMillis()) {
            start = new Start(server.startedAtMillis(), latestPast(server.startedAtMillis()));
            starts.put(server.id(), start);
        }
        return server.withStartedAt(start.converted);
    }

    // Zero stands for long ago.
    private double latestPast(double told) {
        if (told == 0) {
            return 0;
        }
        double now = clock.now();
        double latest = Double.NEGATIVE_INFINITY;
        for (double offset : offsets) {
            double start = told - offset;
            if (start <= now + MIN_STEP_MS) {
                latest = Math.max(latest, start);
            }
        }
        return latest == Double.NEGATIVE_INFINITY ? now : Math.min(latest, now);
    }
}
