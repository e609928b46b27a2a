package loadbalancer.policy;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** What became of the requests of a {@link Traffic}. */
final class TrafficCounts {
    private final Map<String, Integer> attempts = new TreeMap<>();
    private final Map<String, Integer> firstAttempts = new TreeMap<>();
    private int notForwarded;

    /** A request arrived and was first sent to this endpoint, or to none if that is null. */
    void addRequest(String endpoint, int classIndex) {
        if (endpoint == null) {
            notForwarded++;
        } else {
            firstAttempts.merge(key(endpoint, classIndex), 1, Integer::sum);
        }
    }

    void addAttempt(String endpoint) {
        attempts.merge(endpoint, 1, Integer::sum);
    }

    void add(TrafficCounts other) {
        other.attempts.forEach((endpoint, count) -> attempts.merge(endpoint, count, Integer::sum));
        other.firstAttempts.forEach((key, count) -> firstAttempts.merge(key, count, Integer::sum));
        notForwarded += other.notForwarded;
    }

    /** All attempts at an endpoint, retries included. */
    int attempts(String endpoint) {
        return attempts.getOrDefault(endpoint, 0);
    }

    int totalAttempts() {
        return attempts.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Endpoints that had an attempt. */
    Set<String> endpoints() {
        return attempts.keySet();
    }

    int firstAttempts(String endpoint, int classIndex) {
        return firstAttempts.getOrDefault(key(endpoint, classIndex), 0);
    }

    /** First attempts of all classes at the endpoints whose ids begin so. */
    int firstAttemptsByPrefix(String prefix) {
        return firstAttempts.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith(prefix))
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    /** Requests that were rejected without any attempt. */
    int notForwarded() {
        return notForwarded;
    }

    private static String key(String endpoint, int classIndex) {
        return endpoint + "/" + classIndex;
    }

    @Override
    public String toString() {
        return "first attempts " + firstAttempts + ", all attempts " + attempts + ", not forwarded " + notForwarded;
    }
}
