package loadbalancer.discovery;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loadbalancer.eventloop.Clock;
import loadbalancer.eventloop.SelectBarrier;
import loadbalancer.policy.ListCurrency;
import loadbalancer.policy.WatchEvent;

/**
 * Watches the endpoint list of the discovery service. Where lists are polled, the policy decides when to watch again
 * after a failure; where they are pushed, the watch on the local agent is renewed here. Runs on the event loop.
 */
public final class DiscoveryClient {
    /** Is notified of endpoint lists, and of the end of a watch. */
    public interface Listener {
        /** A list arrived: {@code SNAPSHOT} or {@code DELTA}. */
        void endpointsReceived(WatchEvent kind, EndpointList list);

        /** The watch ended: {@code FAILED}, {@code REJECTED}, {@code IDLE_TIMEOUT} or {@code MOVED}. */
        void watchFailed(WatchEvent reason);
    }

    /** A call that has not connected waits like one that has not been answered: {@link CallSchedule} gives it up. */
    private static final int NO_CONNECT_TIMEOUT = 0;

    private static final long CHECK_INTERVAL_MILLIS = 100;
    /** For how many of the longest intervals a call may wait once another one has been answered. */
    private static final int MAX_SUPERSEDED_INTERVALS = 3;

    private final EventLoop loop;
    private final Clock clock;
    private final ObjectMapper mapper;
    private final boolean pushed;
    private final Random random;
    private final WatchBackoff backoff;
    private final Listener listener;
    private final Consumer<String> log;
    private final DiscoveryLog discoveryLog;
    private final RetiredEndpoints retiredEndpoints;
    private final Bootstrap bootstrap;
    private final WatchCall.Listener callListener = new CallListener();
    private InetSocketAddress address;
    /** The version of the last list, or null if the next one has to be a snapshot. */
    private Long version;

    private final ListCurrency currency;
    private final CallSchedule schedule;
    /** The calls that are open, by their states. */
    private final Map<CallState, WatchCall> calls = new HashMap<>();
    /** Calls to addresses that discovery has moved away from, until a call is answered. */
    private final ParkedCalls parked;

    private final SupersededCalls superseded;
    /** True from when an open watch is found silent to the next answer. */
    private boolean silenceReported;
    /** True from a malformed list to the next good one: it is logged once. */
    private boolean malformedListLogged;

    /** A client without a watch, which connects with this kind of channels and logs lines of text. */
    public DiscoveryClient(
            EventLoop loop,
            Class<? extends Channel> channels,
            Clock clock,
            ObjectMapper mapper,
            DiscoverySettings settings,
            Listener listener,
            Consumer<String> log) {
        this.loop = loop;
        this.clock = clock;
        this.address = settings.address();
        this.mapper = mapper;
        this.pushed = !settings.policySettings().endpointListPolled();
        this.random = new Random(settings.seed());
        this.backoff = new WatchBackoff(settings.policySettings().rules().drainGraceMillis(), random);
        this.currency = settings.currency();
        this.schedule = new CallSchedule(currency, pushed);
        this.parked = new ParkedCalls(clock, currency.callIntervalMillis());
        this.superseded = new SupersededCalls(MAX_SUPERSEDED_INTERVALS * currency.callIntervalMillis());
        this.listener = listener;
        this.log = log;
        this.discoveryLog = new DiscoveryLog(clock, currency, log);
        this.retiredEndpoints = new RetiredEndpoints(log);
        this.bootstrap = new Bootstrap()
                .group(loop)
                .channel(channels)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, NO_CONNECT_TIMEOUT);
        rememberLastKnown(settings.lastKnownList());
        loop.scheduleAtFixedRate(this::checkCalls, CHECK_INTERVAL_MILLIS, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void rememberLastKnown(EndpointList list) {
        if (list != null) {
            version = list.version();
            retiredEndpoints.apply(list, address, Double.NEGATIVE_INFINITY, clock.now());
        }
    }

    private void checkCalls() {
        double now = clock.now();
        if (schedule.unattendedSilentWatch(now) != null || schedule.callDue(now)) {
            // After a late turn, what has come may not have been read yet.
            SelectBarrier.runAfterSelect(loop, this::attendToCalls);
        }
        parked.closeExpired();
        superseded.closeExpired(now);
        discoveryLog.tick();
    }

    private void attendToCalls() {
        double now = clock.now();
        CallState silent = schedule.unattendedSilentWatch(now);
        if (silent != null && !silenceReported) {
            silenceReported = true;
            currency.watchFellSilent();
            discoveryLog.callEnded(CallEnd.SILENT, silent.ageMillis(now));
            renewSilentWatch();
        } else if (schedule.callDue(now)) {
            openCall();
        }
    }

    // The silent watch stays open until another call is answered: it may only be late.
    private void renewSilentWatch() {
        if (pushed) {
            watch();
        } else {
            listener.watchFailed(WatchEvent.IDLE_TIMEOUT);
        }
    }

    /** Starts a watch, unless one is open that can be relied on, or a call waits for its first list. */
    public void watch() {
        if (schedule.callNeeded(clock.now())) {
            openCall();
        }
    }

    private void openCall() {
        double now = clock.now();
        CallState replaced = schedule.replaceable(now);
        if (replaced != null) {
            discoveryLog.callEnded(replaced.silence(), replaced.ageMillis(now));
            schedule.givenUp(replaced, now);
            calls.remove(replaced).close();
        }
        CallState state = schedule.begin(now, random.nextDouble());
        WatchCall call = new WatchCall(address, version, state, clock, mapper, callListener);
        calls.put(state, call);
        discoveryLog.callBegun();
        call.connect(bootstrap);
    }

    /**
     * Moves the watch to another address; the old list stays in use until the new one arrives. A snapshot is
     * requested, since another service may count its versions differently and no change must be missed. The backoff
     * starts over, so that failures at the old address delay nothing at the new one.
     */
    public void migrate(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        address = newAddress;
        version = null;
        backoff.reset();
        currency.moved(clock.now());
        leaveCalls();
        WatchCall call = parked.take(newAddress);
        if (call != null) {
            calls.put(call.state(), call);
            schedule.resume(call.state(), clock.now());
        }
        if (pushed) {
            watch();
        } else {
            listener.watchFailed(WatchEvent.MOVED);
        }
    }

    // Ending an open watch is no failure, and what it still receives is out of date. A call that waits for its turn is
    // kept: in a series of moves its address may be wanted again before any call has been answered.
    private void leaveCalls() {
        for (WatchCall call : calls.values()) {
            boolean wasWatching = call.state().watching();
            schedule.ended(call.state());
            if (wasWatching) {
                call.close();
            } else {
                parked.add(call);
            }
        }
        calls.clear();
        superseded.closeAll();
    }

    private void callEnded(WatchCall call, CallEnd end) {
        call.close();
        if (parked.remove(call) || superseded.remove(call)) {
            return;
        }
        discoveryLog.callEnded(end, call.state().ageMillis(clock.now()));
        schedule.ended(call.state());
        calls.remove(call.state());
        // Another call may still be answered, or be followed by one in its time.
        if (schedule.callNeeded(clock.now())) {
            renewFailedWatch(end == CallEnd.REJECTED ? WatchEvent.REJECTED : WatchEvent.FAILED);
        }
    }

    private void renewFailedWatch(WatchEvent reason) {
        if (pushed) {
            loop.schedule(this::watch, (long) backoff.nextDelayMillis(), TimeUnit.MILLISECONDS);
        } else {
            listener.watchFailed(reason);
        }
    }

    /** Returns the backoff between calls to an agent that pushes lists. */
    WatchBackoff backoff() {
        return backoff;
    }

    /** A line of a call came: its first one answers the call, a further one shows that the watch is alive. */
    private void lineReceived(WatchCall call, boolean empty) {
        double now = clock.now();
        CallState state = call.state();
        if (!state.watching()) {
            if (superseded.remove(call)) {
                calls.put(state, call);
            }
            answered(call, now);
        } else if (state.evidence().lineReceived(now, empty)) {
            currency.confirmed(state.evidence().writtenAtMillis());
        }
        if (currency.reliable()) {
            discoveryLog.listCurrent(version);
        } else {
            discoveryLog.versionReceived(version);
        }
    }

    /** Closes a superseded call whose answer was held up on its way: the watch has brought more since. */
    private boolean closedAsOutdated(WatchCall call, Long answeredVersion) {
        boolean outdated = version != null && answeredVersion != null && answeredVersion < version;
        if (!outdated || !superseded.remove(call)) {
            return false;
        }
        call.close();
        return true;
    }

    /** The list in force is current: the calls beside this one are no longer needed. */
    private void answered(WatchCall call, double now) {
        silenceReported = false;
        backoff.reset();
        currency.answered(call.state().begunAtMillis());
        for (CallState other : schedule.answered(call.state(), now)) {
            WatchCall left = calls.remove(other);
            if (other.watching()) {
                if (!other.silent(now)) {
                    discoveryLog.watchReplaced(call.state().ageMillis(now));
                }
                left.close();
            } else {
                superseded.add(left);
            }
        }
        parked.closeAll();
    }

    /** Handles the events of the calls. */
    private final class CallListener implements WatchCall.Listener {
        @Override
        public void objectReceived(WatchCall call, JsonNode object) throws EndpointListException {
            EndpointList list = EndpointList.parse(object);
            if (closedAsOutdated(call, list.version())) {
                return;
            }
            if (!list.snapshot() && version != null && list.version() < version) {
                // The service counts its versions anew: the changes may not be all since the list in use.
                version = null;
                throw new EndpointListException("the version goes back; a snapshot is requested");
            }
            version = list.version();
            malformedListLogged = false;
            lineReceived(call, false);
            listener.endpointsReceived(
                    list.snapshot() ? WatchEvent.SNAPSHOT : WatchEvent.DELTA,
                    retiredEndpoints.apply(list, call.address(), call.state().begunAtMillis(), clock.now()));
        }

        @Override
        public void linesEnded(WatchCall call, int emptyLines) {
            if (closedAsOutdated(call, call.knownVersion())) {
                return;
            }
            lineReceived(call, emptyLines > 0);
            for (int i = 1; i < emptyLines; i++) {
                lineReceived(call, true);
            }
        }

        @Override
        public void malformedListReceived(EndpointListException cause) {
            if (!malformedListLogged) {
                malformedListLogged = true;
                log.accept("malformed endpoint list ignored: " + cause.getMessage());
            }
        }

        @Override
        public void callFailed(WatchCall call, CallEnd end) {
            callEnded(call, end);
        }
    }
}
