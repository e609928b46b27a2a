package loadbalancer.discovery;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import loadbalancer.policy.ListCurrency;
import loadbalancer.policy.LossThrottlingPolicy;
import loadbalancer.policy.PolicyActions;
import loadbalancer.policy.PolicyRequest;
import loadbalancer.policy.PolicySettings;
import loadbalancer.policy.WatchEvent;

/** A sidecar that polls discovery by the policy and the call schedule, without sockets, on a simulated clock. */
final class ModelledSidecar implements PolicyActions {
    private static final double CHECK_INTERVAL_MILLIS = 100;

    /** A call that the modelled service has in its queue. */
    record Call(ModelledSidecar caller, CallState state, double madeAtMillis, boolean[] answered) {}

    private static final double CHANGE_INTERVAL_MILLIS = 500;
    /** From the list of a watch to its end, where watches end. */
    private static final double WATCH_LIFE_MILLIS = 200;

    private final ModelledDiscovery discovery;
    private final LossThrottlingPolicy policy;
    private final WaitingCalls waitingCalls;
    private final SplittableRandom random;
    private final PriorityQueue<Double> wakes = new PriorityQueue<>();
    private final Map<CallState, Call> open = new HashMap<>();
    private CallState watch;
    private boolean changing;
    private double nextChangeMillis;
    private CallState silencedWatch;
    private boolean silenceReported;
    private double nextCheckMillis;
    private double now;
    private double listedAtMillis = Double.NaN;
    private boolean watchesEnd;
    private double watchEndMillis = Double.POSITIVE_INFINITY;

    ModelledSidecar(ModelledDiscovery discovery, PolicySettings settings, long seed) {
        this.discovery = discovery;
        this.policy = new LossThrottlingPolicy(settings, seed, this);
        this.waitingCalls = new WaitingCalls(policy.discoveryCalls());
        this.random = new SplittableRandom(seed);
        this.nextCheckMillis = CHECK_INTERVAL_MILLIS * random.nextDouble();
    }

    private ListCurrency currency() {
        return policy.discoveryCalls().currency();
    }

    void start(double nowMillis) {
        now = nowMillis;
        nextCheckMillis += now;
        policy.start(now);
    }

    /** Runs what is due by this time. */
    void runTo(double nowMillis) {
        while (!wakes.isEmpty() && wakes.peek() <= nowMillis) {
            now = wakes.remove();
            policy.wake(now);
        }
        now = nowMillis;
        if (watch != null && now >= watchEndMillis) {
            watchEndMillis = Double.POSITIVE_INFINITY;
            failWatch();
        }
        if (watch != null && watch != silencedWatch) {
            readWatch();
        }
        if (now >= nextCheckMillis) {
            nextCheckMillis += CHECK_INTERVAL_MILLIS;
            check();
        }
    }

    // An empty line may come at any step, but a list only each half second.
    private void readWatch() {
        if (changing && now < nextChangeMillis) {
            return;
        }
        nextChangeMillis = now + CHANGE_INTERVAL_MILLIS;
        watch.evidence().lineReceived(now, !changing);
        currency().confirmed(watch.evidence().earliestWrittenMillis());
    }

    /** From now on lists come on the watch without an empty line between them, or no lists. */
    void setChanging(boolean isChanging) {
        changing = isChanging;
    }

    /** From now on each watch ends soon after its list, in order. */
    void endWatches() {
        watchesEnd = true;
        watchEndMillis = now;
    }

    private void check() {
        if (waitingCalls.watchSilent(now)) {
            policy.discoveryCalls().silenceNoticed(now);
        }
        if (waitingCalls.unattendedSilentWatch(now) != null && !silenceReported) {
            silenceReported = true;
            policy.endpointsChanged(now, WatchEvent.IDLE_TIMEOUT, List.of());
        } else if (waitingCalls.callDue(now) || waitingCalls.confirmationDue(now, random.nextDouble())) {
            call();
        }
    }

    private void call() {
        CallState replaced = waitingCalls.replaceable(now);
        if (replaced != null) {
            waitingCalls.givenUp(replaced, now);
            close(replaced);
        }
        CallState state = waitingCalls.begin(now, random.nextDouble());
        Call call = new Call(this, state, now, new boolean[1]);
        open.put(state, call);
        discovery.enqueue(call);
    }

    private void close(CallState state) {
        open.remove(state);
        if (state == watch) {
            watch = null;
        }
    }

    /** The service answers a call, which may have been given up meanwhile. */
    void answer(CallState state) {
        if (!open.containsKey(state)) {
            return;
        }
        silenceReported = false;
        currency().answered(state.sentMillis());
        if (!waitingCalls.better(state, false, now)) {
            open.remove(state);
            waitingCalls.ended(state);
            waitingCalls.supersedeWaiting();
            return;
        }
        if (watch == null || watch == silencedWatch) {
            listedAtMillis = now;
        }
        for (CallState other : waitingCalls.answered(state, now)) {
            if (other.watching()) {
                close(other);
            }
        }
        watch = state;
        if (watchesEnd) {
            listedAtMillis = now;
            watchEndMillis = now + WATCH_LIFE_MILLIS;
        }
        policy.endpointsChanged(now, WatchEvent.SNAPSHOT, List.of());
    }

    /** A call is rejected after its wait, or it is refused, or a watch ends. */
    void fail(CallState state, WatchEvent reason) {
        if (!open.containsKey(state)) {
            return;
        }
        close(state);
        if (reason == WatchEvent.REJECTED) {
            waitingCalls.rejected(state, now);
        }
        waitingCalls.ended(state);
        if (waitingCalls.callNeeded(now)) {
            policy.endpointsChanged(now, reason, List.of());
        }
    }

    /** The open watch gets no sign of life any more. */
    void silenceWatch() {
        silencedWatch = watch;
    }

    void failWatch() {
        fail(watch, WatchEvent.FAILED);
    }

    /** Discovery moves: all calls end, which is no failure. */
    void move() {
        for (CallState state : List.copyOf(open.keySet())) {
            close(state);
            waitingCalls.ended(state);
        }
        currency().moved(now);
        policy.endpointsChanged(now, WatchEvent.MOVED, List.of());
    }

    /** When the last list came, or NaN. */
    double listedAtMillis() {
        return listedAtMillis;
    }

    @Override
    public void watchEndpoints() {
        if (waitingCalls.callNeeded(now)) {
            call();
        }
    }

    @Override
    public void scheduleWake(double at) {
        wakes.add(at);
    }

    @Override
    public void forward(PolicyRequest request, String endpoint, double timeoutMillis) {}

    @Override
    public void cancelAttempt(PolicyRequest request, int attempt) {}

    @Override
    public void reject(PolicyRequest request, double retryAfterMillis) {}

    @Override
    public void fail(PolicyRequest request) {}

    @Override
    public void probe(String endpoint) {}

    @Override
    public void broadcast(byte[] message) {}

    @Override
    public void log(String line) {}
}
