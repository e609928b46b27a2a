package loadbalancer.policy;

import java.util.ArrayList;
import java.util.List;

/** Records the actions that are not about requests, for the tests of single classes of the policy. */
final class RecordingActions implements PolicyActions {
    private final List<Double> wakes = new ArrayList<>();
    private final List<String> probes = new ArrayList<>();
    private final List<String> log = new ArrayList<>();
    private int watches;

    /** The time of the last wake that was asked for. */
    double lastWake() {
        return wakes.get(wakes.size() - 1);
    }

    int wakes() {
        return wakes.size();
    }

    int watches() {
        return watches;
    }

    List<String> probes() {
        return probes;
    }

    List<String> log() {
        return log;
    }

    @Override
    public void scheduleWake(double at) {
        wakes.add(at);
    }

    @Override
    public void watchEndpoints() {
        watches++;
    }

    @Override
    public void probe(String endpoint) {
        probes.add(endpoint);
    }

    @Override
    public void log(String line) {
        log.add(line);
    }

    @Override
    public void forward(PolicyRequest request, String endpoint, double timeoutMillis) {
        throw new AssertionError("forwarded " + request.id());
    }

    @Override
    public void cancelAttempt(PolicyRequest request, int attempt) {
        throw new AssertionError("cancelled " + request.id());
    }

    @Override
    public void reject(PolicyRequest request, double retryAfterMillis) {
        throw new AssertionError("rejected " + request.id());
    }

    @Override
    public void fail(PolicyRequest request) {
        throw new AssertionError("failed " + request.id());
    }

    @Override
    public void broadcast(byte[] message) {
        throw new AssertionError("broadcast " + message.length);
    }
}
