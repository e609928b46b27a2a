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
 * Converts the start time of each endpoint, which the discovery service reports in Unix time, to the policy's clock.
 *
 * <p>That clock begins at Unix time and then follows the monotonic one. Once the wall clock has been stepped, the same
 * Unix time stands for different moments, depending on whether it was read before or after the step. Of the moments
 * that a start time can stand for, the latest that is not in the future is used: an endpoint may then be taken for
 * younger than it is, which costs some of its share, but never for older, which would overload it in its slow start.
 */
public final class StartTimes {
    /** A smaller difference is drift, or a pause between two readings. */
    private static final double MIN_STEP_MILLIS = 100;
    /** Older steps are forgotten: a start time from before them is long past by then. */
    private static final int MAX_OFFSETS = 8;
    /** A start in Unix time that stands for long ago. */
    private static final double UNKNOWN_START_MILLIS = 0;

    private static final double MILLIS_PER_SECOND = 1000;

    /** A start time as reported, and on the policy's clock. */
    private record StartTime(double reportedMillis, double convertedMillis) {}

    private final Clock clock;
    private final Consumer<String> log;
    /** By how many milliseconds the wall clock has been ahead of the policy's, the newest offset last. */
    private final ArrayDeque<Double> offsetsMillis = new ArrayDeque<>();

    private final Map<String, StartTime> startTimes = new HashMap<>();

    /** Start times of no endpoint yet, beside a wall clock that has not been stepped. */
    public StartTimes(Clock clock, Consumer<String> log) {
        this.clock = clock;
        this.log = log;
        offsetsMillis.add(0.0);
    }

    /** Reads the wall clock; to be called often, so that no step is missed. */
    public void observeWallClock() {
        double offsetMillis = clock.wallClockOffset();
        double stepMillis = offsetMillis - offsetsMillis.peekLast();
        if (Math.abs(stepMillis) < MIN_STEP_MILLIS) {
            return;
        }
        log.accept("the wall clock was stepped by " + Math.round(stepMillis) / MILLIS_PER_SECOND + " s");
        offsetsMillis.addLast(offsetMillis);
        if (offsetsMillis.size() > MAX_OFFSETS) {
            offsetsMillis.removeFirst();
        }
    }

    /** Returns the endpoints of this list with their start times on the policy's clock. */
    public List<Endpoint> convert(EndpointList list) {
        observeWallClock();
        if (list.snapshot()) {
            removeMissing(list.entries());
        }
        List<Endpoint> converted = new ArrayList<>(list.entries().size());
        for (EndpointList.Entry entry : list.entries()) {
            converted.add(convert(entry.endpoint()));
        }
        return converted;
    }

    private void removeMissing(List<EndpointList.Entry> snapshot) {
        Set<String> listedIds = new HashSet<>();
        for (EndpointList.Entry entry : snapshot) {
            listedIds.add(entry.endpoint().id());
        }
        startTimes.keySet().retainAll(listedIds);
    }

    private Endpoint convert(Endpoint endpoint) {
        if (endpoint.status() == EndpointStatus.REMOVED) {
            startTimes.remove(endpoint.id());
            return endpoint;
        }
        double reportedMillis = endpoint.startedAtMillis();
        StartTime startTime = startTimes.get(endpoint.id());
        if (startTime == null || startTime.reportedMillis != reportedMillis) {
            startTime = new StartTime(reportedMillis, latestNotInFuture(reportedMillis));
            startTimes.put(endpoint.id(), startTime);
        }
        return endpoint.withStartedAt(startTime.convertedMillis);
    }

    private double latestNotInFuture(double reportedMillis) {
        if (reportedMillis == UNKNOWN_START_MILLIS) {
            return UNKNOWN_START_MILLIS;
        }
        double now = clock.now();
        double latest = Double.NEGATIVE_INFINITY;
        for (double offsetMillis : offsetsMillis) {
            double candidate = reportedMillis - offsetMillis;
            if (candidate <= now + MIN_STEP_MILLIS) {
                latest = Math.max(latest, candidate);
            }
        }
        return latest == Double.NEGATIVE_INFINITY ? now : Math.min(latest, now);
    }
}
