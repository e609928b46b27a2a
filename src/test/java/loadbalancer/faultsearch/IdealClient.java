package loadbalancer.faultsearch;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import loadbalancer.faultsearch.DrainRecords.Life;
import loadbalancer.faultsearch.DrainRecords.Process;
import loadbalancer.faultsearch.Step.Kind;
import loadbalancer.testing.NetworkPath;

/**
 * A client that begins a call at each short interval and reads all of them: what it could not have had, no client
 * could. Times are in milliseconds.
 */
final class IdealClient {
    /**
     * What the first call that would have brought a change shows.
     *
     * @param reachableMillis when a call could begin that is answered with the change; infinity if none could
     * @param toldMillis when the change would have arrived first on any call; infinity if never
     */
    record Outcome(double reachableMillis, double toldMillis) {}

    private static final double POLL_INTERVAL_MILLIS = 50;
    private static final double AGENT_INTERVAL_GRACE_FRACTION = 0.3;
    private static final Set<Kind> UNANSWERED =
            Set.of(Kind.REJECT, Kind.RESET_CALLS, Kind.IGNORE_CALLS, Kind.HALF_LIST);

    private final FaultSequence sequence;
    private final int listBytes;
    private final double intervalMillis;

    /**
     * A client in the place of the process of a sequence.
     *
     * @param listBytes how long the whole list is, with the head of its response
     */
    IdealClient(FaultSequence sequence, int listBytes) {
        this.sequence = sequence;
        this.listBytes = listBytes;
        this.intervalMillis =
                sequence.pushed() ? AGENT_INTERVAL_GRACE_FRACTION * sequence.graceMillis() : POLL_INTERVAL_MILLIS;
    }

    /** Returns what its calls show from this moment on, at the services that the process called. */
    Outcome calls(Life life, Process process, double fromMillis) {
        double reachableMillis = Double.POSITIVE_INFINITY;
        double toldMillis = Double.POSITIVE_INFINITY;
        for (double at = fromMillis; at < Math.min(VirtualRun.END_MILLIS, toldMillis); at += intervalMillis) {
            double arrivalMillis = arrivalMillis(at, process.serviceAt(at), life);
            if (Double.isFinite(arrivalMillis)) {
                reachableMillis = Math.min(reachableMillis, at);
                toldMillis = Math.min(toldMillis, arrivalMillis);
            }
        }
        return new Outcome(reachableMillis, toldMillis);
    }

    /** Returns when the change arrives on a call that begins now, as a part of its first list; infinity if never. */
    private double arrivalMillis(double at, int service, Life life) {
        if (UNANSWERED.stream().anyMatch(kind -> sequence.active(kind, at) != null)) {
            return Double.POSITIVE_INFINITY;
        }
        double answerMillis = at + turnMillis(at);
        boolean lost = instant(at, answerMillis, service, Kind.END_ALL, Kind.RESTART_SERVICE, Kind.DARK_ALL);
        if (lost || answerMillis < life.knownToServiceMillis[service]) {
            return Double.POSITIVE_INFINITY;
        }
        NetworkPath path = new NetworkPath(CallFaults.treatment(sequence, at), at);
        double arrivalMillis = path.arrivalMillis(answerMillis, listBytes);
        return instant(answerMillis, arrivalMillis, service, Kind.END_ALL, Kind.RESTART_SERVICE)
                ? Double.POSITIVE_INFINITY
                : arrivalMillis;
    }

    private double turnMillis(double at) {
        Step turn = sequence.active(Kind.SLOW_TURN, at);
        if (turn != null) {
            return turn.amount();
        }
        return sequence.pushed() ? 0 : VirtualDiscovery.MAX_TURN_MILLIS;
    }

    private boolean instant(double fromMillis, double untilMillis, int service, Kind... kinds) {
        Set<Kind> wanted = new TreeSet<>(List.of(kinds));
        return sequence.steps().stream()
                .anyMatch(step -> wanted.contains(step.kind())
                        && step.atMillis() >= fromMillis
                        && step.atMillis() <= untilMillis
                        && (step.kind() != Kind.RESTART_SERVICE || step.target() == service));
    }
}
