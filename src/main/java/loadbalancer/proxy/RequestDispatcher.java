package loadbalancer.proxy;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loadbalancer.discovery.DiscoveryClient;
import loadbalancer.discovery.EndpointList;
import loadbalancer.discovery.StartTimes;
import loadbalancer.eventloop.Clock;
import loadbalancer.eventloop.LoopLateness;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.BalancingPolicy;
import loadbalancer.policy.Endpoint;
import loadbalancer.policy.LoadReport;
import loadbalancer.policy.LossThrottlingPolicy;
import loadbalancer.policy.PolicyActions;
import loadbalancer.policy.PolicyRequest;
import loadbalancer.policy.PolicySettings;
import loadbalancer.policy.RequestClass;
import loadbalancer.policy.RetryRules;
import loadbalancer.policy.WatchEvent;
import loadbalancer.protocol.Decimals;
import loadbalancer.protocol.HeaderNames;
import loadbalancer.upstream.EndpointAttempt;
import loadbalancer.upstream.EndpointPool;
import loadbalancer.upstream.UpstreamResponse;

/**
 * Drives the module and carries out what it decides. It owns the requests taken, their attempts and timers,
 * and sees to it that each request ends exactly once and nothing is sent for it afterwards.
 */
public final class RequestDispatcher implements PolicyActions, DiscoveryClient.Listener {
    /** Of the margin, how long after its deadline a request is failed that the module has not ended by then. */
    private static final double MODULE_GRACE = 0.2;
    /** How often the wall clock is looked at; a server started between two opposite steps this close is misjudged. */
    private static final long OBSERVE_MS = 1000;

    private static final double MILLIS = 1000;
    private static final double NANOS_IN_MILLI = 1e6;

    private final EventLoop loop;
    private final Clock clock;
    private final PolicySettings settings;
    private final EndpointPool pool;
    private final Consumer<String> log;
    private final BalancingPolicy module;
    private final LoopLateness lateness;
    private final StartTimes startTimes;
    private final Map<Long, PendingRequest> open = new HashMap<>();
    private final Set<String> ids = new HashSet<>();
    private final ArrayDeque<Runnable> events = new ArrayDeque<>();
    private Runnable watch;
    private Runnable onFirstList = () -> {};
    private boolean telling;
    private long nextId;

    /** A sidecar that has taken nothing. */
    public RequestDispatcher(
            EventLoop loop, Clock clock, PolicySettings settings, long seed, EndpointPool pool, Consumer<String> log) {
        this.loop = loop;
        this.clock = clock;
        this.settings = settings;
        this.pool = pool;
        this.log = log;
        this.lateness = new LoopLateness(clock);
        this.startTimes = new StartTimes(clock, log);
        this.module = new LossThrottlingPolicy(settings, seed, this);
        loop.scheduleAtFixedRate(startTimes::observeWallClock, OBSERVE_MS, OBSERVE_MS, TimeUnit.MILLISECONDS);
    }

    /** Starts the module, with the list as last known if there is one, and with what begins a watch on it. */
    public void start(Runnable watchList, EndpointList known) {
        watch = watchList;
        tell(() -> module.start(clock.now()));
        if (known != null) {
            endpointsReceived(WatchEvent.STALE_SNAPSHOT, known);
        }
        if (!settings.endpointListPolled()) {
            // A pushed list comes from an agent on this machine, which the module does not ask.
            watch.run();
        }
    }

    /** Has this run once discovery's first list has come. */
    public void onFirstList(Runnable task) {
        onFirstList = task;
    }

    @Override
    public void endpointsReceived(WatchEvent kind, EndpointList list) {
        pool.update(list);
        List<Endpoint> servers = startTimes.convert(list);
        tell(() -> module.endpointsChanged(clock.now(), kind, servers));
        if (kind != WatchEvent.STALE_SNAPSHOT) {
            onFirstList.run();
            onFirstList = () -> {};
        }
    }

    @Override
    public void watchFailed(WatchEvent why) {
        tell(() -> module.endpointsChanged(clock.now(), why, List.of()));
    }

    /** How late the loop that runs all this lately was. */
    LoopLateness lateness() {
        return lateness;
    }

    /** True if a request of this id is not over, or has an attempt out that may run. */
    public boolean isInFlight(String id) {
        return ids.contains(id);
    }

    /** Takes a request, whose id is not held; the client is told its end exactly once. */
    public PendingRequest admit(ClientRequest incoming, byte[] body, ResponseListener client) {
        double margin = lateness.safetyMargin(incoming.timeoutMillis());
        double left = incoming.timeoutMillis() - margin;
        PolicyRequest request = new PolicyRequest(
                nextId++, incoming.classIndex(), incoming.tenantIndex(), left, incoming.clientRetry());
        PendingRequest pending = new PendingRequest(request, incoming, body, client);
        open.put(pending.request.id(), pending);
        ids.add(incoming.id());
        tell(() -> {
            double now = clock.now();
            pending.endAt = now + left;
            pending.deadline = after(left + margin * MODULE_GRACE, pending::endUnserved);
            module.requestArrived(now, pending.request);
        });
        return pending;
    }

    /**
     * Fails whatever is still held: the process is about to be killed, and no answer at all would lose it.
     */
    public void failPending() {
        for (PendingRequest pending : List.copyOf(open.values())) {
            pending.endUnserved();
        }
    }

    /** Requests taken that are not over, or that have attempts out. */
    public int pendingCount() {
        return open.size();
    }

    // An event may cause another before the module has returned from it: that one waits its turn.
    private void tell(Runnable event) {
        events.add(event);
        if (telling) {
            return;
        }
        telling = true;
        try {
            for (Runnable e = events.poll(); e != null; e = events.poll()) {
                run(e);
            }
        } finally {
            telling = false;
        }
    }

    // Guards against a fault in one decision taking down all requests; the deadline ends this one.
    private void run(Runnable event) {
        try {
            event.run();
        } catch (RuntimeException | StackOverflowError fault) {
            // The JVM leaves the trace out of a fault that it has seen often.
            StackTraceElement[] trace = fault.getStackTrace();
            log.accept("policy event failed: " + fault + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }

    private Future<?> after(double millis, Runnable task) {
        long nanos = (long) Math.ceil(Math.max(0, millis) * NANOS_IN_MILLI);
        double due = clock.now() + Math.max(0, millis);
        return loop.schedule(
                () -> {
                    lateness.recordRun(due);
                    task.run();
                },
                nanos,
                TimeUnit.NANOSECONDS);
    }

    @Override
    public void forward(PolicyRequest r, String server, double within) {
        PendingRequest pending = open.get(r.id());
        if (pending != null) {
            pending.send(server, within);
        }
    }

    @Override
    public void cancelAttempt(PolicyRequest r, int attempt) {
        PendingRequest pending = open.get(r.id());
        if (pending != null && attempt >= 0 && attempt < pending.attempts.size()) {
            pending.attempts.get(attempt).abort(AttemptOutcome.CANCELLED);
        }
    }

    @Override
    public void reject(PolicyRequest r, double retryAfter) {
        PendingRequest pending = open.get(r.id());
        if (pending != null && !pending.over) {
            pending.over();
            if (pending.mayRefuse()) {
                pending.client.rejected(settings.limits().retryAfter() ? retryAfter : 0);
            } else {
                pending.client.failed();
            }
        }
    }

    @Override
    public void fail(PolicyRequest r) {
        PendingRequest pending = open.get(r.id());
        if (pending != null && !pending.over) {
            pending.over();
            pending.client.failed();
        }
    }

    @Override
    public void probe(String server) {
        tell(() -> module.probeEnded(clock.now(), server, AttemptOutcome.NOT_SENT, 0, null));
    }

    @Override
    public void watchEndpoints() {
        watch.run();
    }

    @Override
    public void broadcast(byte[] text) {
        // The design shares nothing between sidecars; the module sends no such message.
    }

    @Override
    public void scheduleWake(double at) {
        after(at - clock.now(), () -> tell(() -> module.wake(clock.now())));
    }

    @Override
    public void log(String line) {
        log.accept(line);
    }

    /** A request taken. It is kept until it is over and all its attempts have ended. */
    public final class PendingRequest {
        private final PolicyRequest request;
        private final ClientRequest incoming;
        private final byte[] body;
        private final ResponseListener client;
        private final List<Attempt> attempts = new ArrayList<>(1);
        private double endAt;
        private boolean over;
        private Future<?> deadline;

        private PendingRequest(PolicyRequest request, ClientRequest incoming, byte[] body, ResponseListener client) {
            this.request = request;
            this.incoming = incoming;
            this.body = body;
            this.client = client;
        }

        /** The client went away: nothing is owed any more. */
        public void clientDisconnected() {
            if (!over) {
                over();
                tell(() -> module.clientDisconnected(clock.now(), request));
            }
        }

        private void over() {
            over = true;
            deadline.cancel(false);
            // Guards against sending late what nobody waits for. This is no cancelling, which the settings may
            // rule out: nothing of such an attempt has reached an endpoint, or not all of it.
            for (Attempt attempt : attempts) {
                attempt.dropUnwritten();
            }
            tidy();
        }

        private void tidy() {
            if (over && allEnded() && open.remove(request.id()) != null) {
                ids.remove(incoming.id());
            }
        }

        private boolean allEnded() {
            for (Attempt attempt : attempts) {
                if (attempt.outcome == null) {
                    return false;
                }
            }
            return true;
        }

        // Guards against a module that leaves a request without an answer, by a fault say, and against a
        // kill.
        private void endUnserved() {
            if (!over) {
                over();
                client.failed();
                tell(() -> module.clientDisconnected(clock.now(), request));
            }
        }

        // Rule 2, kept here as well as in the module: a refusal says that trying again does no harm.
        private boolean mayRefuse() {
            RequestClass requestClass = settings.classes().get(request.classIndex());
            return RetryRules.clientMayRetry(requestClass)
                    || attempts.stream().allMatch(a -> a.outcome != null && a.outcome.provesNotExecuted());
        }

        // Rule 2 again, for a further attempt whose connection came up late: time for a repeat may be over.
        private boolean mayRepeat(Attempt next, double now) {
            RequestClass requestClass = settings.classes().get(request.classIndex());
            return attempts.stream()
                    .allMatch(a -> a == next
                            || a.outcome != null && a.outcome.provesNotExecuted()
                            || RetryRules.mayRepeat(requestClass, a.sentAt, now));
        }

        private void send(String server, double within) {
            double now = clock.now();
            Attempt a = new Attempt(this, attempts.size(), now);
            attempts.add(a);
            if (over || now >= endAt || attempts.size() > settings.limits().maxAttempts()) {
                a.attemptEnded(AttemptOutcome.NOT_SENT, null, null);
                return;
            }
            double wait = within > 0 ? Math.min(within, endAt - now) : endAt - now;
            a.endAt = now + wait;
            a.timer = after(wait, () -> a.abort(AttemptOutcome.TIMED_OUT));
            a.attempt = pool.send(server, a);
        }

        private FullHttpRequest httpRequest(double wait) {
            HttpHeaders headers = incoming.headers().copy();
            headers.set(HeaderNames.REQUEST_TIMEOUT, Decimals.formatThousandths(Math.max(1, wait) / MILLIS));
            if (body.length > 0 || incoming.method().equals(HttpMethod.POST)) {
                headers.set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            }
            return new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    incoming.method(),
                    incoming.uri(),
                    Unpooled.wrappedBuffer(body),
                    headers,
                    EmptyHttpHeaders.INSTANCE);
        }
    }

    /** One attempt, whose outcome is told to the module exactly once. */
    private final class Attempt implements EndpointAttempt.Listener {
        private final PendingRequest pending;
        private final int index;
        private final double sentAt;
        private double endAt;
        private EndpointAttempt attempt;
        private Future<?> timer;
        private AttemptOutcome outcome;

        private Attempt(PendingRequest pending, int index, double sentAt) {
            this.pending = pending;
            this.index = index;
            this.sentAt = sentAt;
        }

        // What was not yet written whole can't run, whatever the reason for giving it up.
        private void abort(AttemptOutcome reason) {
            if (outcome == null && attempt != null) {
                attemptEnded(attempt.abort() ? reason : AttemptOutcome.CONNECT_FAILED, null, null);
            }
        }

        private void dropUnwritten() {
            if (outcome == null && attempt != null && !attempt.requestWritten()) {
                attempt.abort();
                attemptEnded(AttemptOutcome.NOT_SENT, null, null);
            }
        }

        // The endpoint is told what is left now: its connection may have come up late.
        @Override
        public FullHttpRequest request() {
            double now = clock.now();
            boolean may = !pending.over && now < endAt && pending.mayRepeat(this, now);
            return may ? pending.httpRequest(endAt - now) : null;
        }

        @Override
        public void attemptEnded(AttemptOutcome how, UpstreamResponse answer, LoadReport report) {
            if (outcome != null) {
                return;
            }
            outcome = how;
            if (timer != null) {
                timer.cancel(false);
            }
            // Guards against events out of order: an answer may bring the client's next request at once,
            // which must wait until the module has heard of this outcome, or it would think the endpoint
            // still busy.
            tell(() -> {
                double now = clock.now();
                if (how == AttemptOutcome.SUCCESS && !pending.over) {
                    pending.over();
                    pending.client.succeeded(answer);
                }
                boolean finished = pending.over;
                pending.tidy();
                module.attemptEnded(now, pending.request, index, how, now - sentAt, finished, report);
            });
        }
    }
}
