package loadbalancer.proxy;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loadbalancer.discovery.DiscoveryClient;
import loadbalancer.discovery.EndpointList;
import loadbalancer.discovery.StartTimes;
import loadbalancer.eventloop.Clock;
import loadbalancer.eventloop.LoopLateness;
import loadbalancer.memory.MemoryBudget;
import loadbalancer.memory.MemoryUse;
import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.BalancingPolicy;
import loadbalancer.policy.DiscoveryCallSchedule;
import loadbalancer.policy.Endpoint;
import loadbalancer.policy.Idempotency;
import loadbalancer.policy.LossThrottlingPolicy;
import loadbalancer.policy.PolicyActions;
import loadbalancer.policy.PolicyRequest;
import loadbalancer.policy.PolicySettings;
import loadbalancer.policy.RequestClass;
import loadbalancer.policy.WatchEvent;
import loadbalancer.upstream.EndpointPool;

/**
 * Admits requests, notifies the policy of all that happens, and carries out the policy's actions.
 *
 * <p>It owns the pending requests. Everything here runs on the one event loop.
 */
public final class RequestDispatcher implements PolicyActions, DiscoveryClient.Listener {
    /** Of the safety margin, how long after its timeout a request is failed that the policy has not ended by then. */
    private static final double POLICY_GRACE_SHARE = 0.2;
    /** The start of an endpoint between two opposite steps of the wall clock within this time is misjudged. */
    private static final long WALL_CLOCK_CHECK_INTERVAL_MILLIS = 1000;

    /** Identifiers may take so large a part of the memory for peers: some thousand of them. */
    private static final int ID_MEMORY_DIVISOR = 16;

    private final Clock clock;
    private final PolicySettings settings;
    private final EndpointPool pool;
    private final Consumer<String> log;
    private final LoopLateness lateness;
    private final LoopTimers timers;
    private final StartTimes startTimes;
    private final PolicyEventQueue events;
    private final BalancingPolicy policy;
    private final PendingRequests pendingRequests = new PendingRequests();
    private final RecentRequestIds recentIds;
    private final RuleViolations violations;
    private final ForwardingGuard guard;
    private final ProxyContext context;
    private Runnable watch;
    private Runnable onFirstList = () -> {};
    private boolean listReceived;
    private long nextRequestNumber;

    /**
     * Creates a dispatcher without requests, whose policy has not started.
     *
     * @param seed of the policy's random numbers
     * @param pool sends the attempts
     * @param memory what the identifiers that must not be used again draw from
     * @param log receives lines for the on-call engineer
     */
    public RequestDispatcher(
            EventLoop loop,
            Clock clock,
            PolicySettings settings,
            long seed,
            EndpointPool pool,
            MemoryBudget memory,
            Consumer<String> log) {
        this.clock = clock;
        this.settings = settings;
        this.pool = pool;
        this.log = log;
        this.lateness = new LoopLateness(clock);
        this.timers = new LoopTimers(loop, clock, lateness);
        this.startTimes = new StartTimes(clock, log);
        this.events = new PolicyEventQueue(log);
        this.policy = new LossThrottlingPolicy(settings, seed, this);
        this.recentIds = new RecentRequestIds(
                longestExecutionMillis(settings),
                memory.newHolding(MemoryUse.REQUEST_IDS),
                memory.capacityBytes() / ID_MEMORY_DIVISOR);
        this.violations = new RuleViolations(log);
        this.guard = new ForwardingGuard(settings.limits(), settings.classes(), violations);
        this.context =
                new ProxyContext(clock, settings, pool, timers, events, policy, pendingRequests, recentIds, guard);
        loop.scheduleAtFixedRate(
                startTimes::observeWallClock,
                WALL_CLOCK_CHECK_INTERVAL_MILLIS,
                WALL_CLOCK_CHECK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /**
     * Lets the policy request the endpoint list, before requests are served.
     *
     * @param watchList opens a watch on the endpoint list
     * @param known the endpoint list as last known, or null
     */
    public void startDiscovery(Runnable watchList, EndpointList known) {
        watch = watchList;
        events.enqueuePolicyEvent(() -> policy.prepare(clock.now()));
        if (known != null) {
            endpointsReceived(WatchEvent.STALE_SNAPSHOT, known);
        }
        if (!settings.endpointListPolled()) {
            // A list that is pushed comes from an agent on this machine; the policy does not begin to watch it.
            watch.run();
        }
    }

    /** Returns the policy's schedule of calls to discovery. */
    public DiscoveryCallSchedule discoveryCalls() {
        return policy.discoveryCalls();
    }

    /** Starts the policy: requests may come from now on. */
    public void start() {
        events.enqueuePolicyEvent(() -> policy.start(clock.now()));
    }

    /** Sets a task that runs once: when the first list has come from discovery, or now if that was before. */
    public void onFirstList(Runnable task) {
        if (listReceived) {
            task.run();
        } else {
            onFirstList = task;
        }
    }

    @Override
    public void endpointsReceived(WatchEvent kind, EndpointList list) {
        pool.update(list);
        List<Endpoint> endpoints = startTimes.convert(list);
        events.enqueuePolicyEvent(() -> policy.endpointsChanged(clock.now(), kind, endpoints));
        if (kind == WatchEvent.SNAPSHOT || kind == WatchEvent.DELTA) {
            listReceived = true;
            onFirstList.run();
            onFirstList = () -> {};
        }
    }

    @Override
    public void watchFailed(WatchEvent why) {
        events.enqueuePolicyEvent(() -> policy.endpointsChanged(clock.now(), why, List.of()));
    }

    /** Returns how late the event loop lately was. */
    LoopLateness lateness() {
        return lateness;
    }

    // An endpoint executes a request for no longer than its class has time for, and drops a repeat for as long as the
    // class says: until then an identifier that comes again could make it run twice.
    private static double longestExecutionMillis(PolicySettings settings) {
        double longestMillis = 0;
        for (RequestClass requestClass : settings.classes()) {
            longestMillis = Math.max(longestMillis, requestClass.deadlineMillis());
            if (requestClass.idempotency() == Idempotency.WITH_KEY) {
                longestMillis = Math.max(longestMillis, requestClass.deduplicationWindowMillis());
            }
        }
        return longestMillis;
    }

    /** Returns true if a request with this id is pending, or if one may have been executed and must not run twice. */
    public boolean isInUse(String id) {
        return pendingRequests.containsClientId(id) || recentIds.contains(id, clock.now());
    }

    /**
     * Admits a request, whose id is not in use.
     *
     * @param waitedMillis how long it may have waited unread, which is taken off its timeout; less than that
     * @param client receives the one final response, possibly before this method returns
     */
    public PendingRequest admit(
            ClientRequest incoming, RequestBody body, double waitedMillis, ResponseListener client) {
        double remainingMillis = incoming.timeoutMillis() - waitedMillis;
        double marginMillis = lateness.safetyMargin(remainingMillis);
        PolicyRequest policyRequest = new PolicyRequest(
                nextRequestNumber++,
                incoming.classIndex(),
                incoming.tenantIndex(),
                remainingMillis - marginMillis,
                incoming.clientRetry());
        PendingRequest pending =
                new PendingRequest(context, policyRequest, incoming, body, client, marginMillis * POLICY_GRACE_SHARE);
        pendingRequests.add(pending);
        events.enqueuePolicyEvent(pending::start);
        return pending;
    }

    /** Fails all requests that are not completed: the process is about to be killed. */
    public void failPending() {
        for (PendingRequest pending : pendingRequests.snapshot()) {
            pending.failUnanswered();
        }
    }

    /** Returns how late the loop was, what was refused before its first byte and which rules were violated. */
    public String summary() {
        return "event loop late by at most " + Math.round(lateness.longest())
                + " ms; attempts refused before their first byte: " + guard.refusals() + "; rules violated: "
                + violations.total();
    }

    /** Returns the number of requests that are not completed, or that have attempts in flight. */
    public int pendingCount() {
        return pendingRequests.size();
    }

    @Override
    public void forward(PolicyRequest request, String endpoint, double timeoutMillis) {
        PendingRequest pending = pendingRequests.get(request.id());
        if (pending != null) {
            pending.forward(endpoint, timeoutMillis);
        }
    }

    @Override
    public void cancelAttempt(PolicyRequest request, int attempt) {
        PendingRequest pending = pendingRequests.get(request.id());
        if (pending != null) {
            pending.cancelAttempt(attempt);
        }
    }

    @Override
    public void reject(PolicyRequest request, double retryAfterMillis) {
        PendingRequest pending = pendingRequests.get(request.id());
        if (pending != null) {
            pending.reject(settings.limits().retryAfter() ? retryAfterMillis : 0);
        }
    }

    @Override
    public void fail(PolicyRequest request) {
        PendingRequest pending = pendingRequests.get(request.id());
        if (pending != null) {
            pending.fail();
        }
    }

    @Override
    public void probe(String endpoint) {
        // This sidecar sends no probes: one that the policy wants all the same ends at once as not sent.
        events.enqueuePolicyEvent(() -> policy.probeEnded(clock.now(), endpoint, AttemptOutcome.NOT_SENT, 0, null));
    }

    @Override
    public void watchEndpoints() {
        watch.run();
    }

    @Override
    public void broadcast(byte[] message) {
        // The design shares nothing between sidecars; the policy sends no such message.
    }

    @Override
    public void scheduleWake(double at) {
        timers.schedule(at - clock.now(), this::enqueueWake);
    }

    private void enqueueWake() {
        events.enqueuePolicyEvent(this::wakePolicy);
    }

    private void wakePolicy() {
        policy.wake(clock.now());
    }

    @Override
    public void log(String line) {
        log.accept(line);
    }
}
