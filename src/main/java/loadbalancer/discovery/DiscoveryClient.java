package loadbalancer.discovery;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import loadbalancer.eventloop.Clock;
import loadbalancer.eventloop.SelectBarrier;
import loadbalancer.eventloop.TurnTimeReadAllocator;
import loadbalancer.memory.MemoryBudget;
import loadbalancer.memory.MemoryUse;
import loadbalancer.policy.DiscoveryCallSchedule;
import loadbalancer.policy.ListCurrency;
import loadbalancer.policy.WatchEvent;

/**
 * Watches the endpoint list of the discovery service, or of the local agent that pushes its lists. The policy asks for
 * a call when there is no watch; further calls beside the open ones begin here, by the same schedule. Runs on the event
 * loop.
 */
public final class DiscoveryClient {
    /** Is notified of endpoint lists, and of the end of a watch. */
    public interface Listener {
        /** A list arrived: {@code SNAPSHOT}, {@code DELTA} or {@code RETIREMENTS}. */
        void endpointsReceived(WatchEvent kind, EndpointList list);

        /** The watch ended: {@code FAILED}, {@code REJECTED}, {@code IDLE_TIMEOUT} or {@code MOVED}. */
        void watchFailed(WatchEvent reason);
    }

    /** A call that has not connected waits like one that has not been answered: {@link WaitingCalls} gives it up. */
    private static final int NO_CONNECT_TIMEOUT = 0;

    private static final long CHECK_INTERVAL_MILLIS = 100;
    /** Of all calls together; as long as the margin that a request's timeout has for a busy loop. */
    private static final double MAX_READ_MILLIS_PER_TURN = 25;

    private static final double NANOS_PER_MILLI = 1e6;
    /** For how many of the longest intervals a call stays open that is no longer waited for. */
    private static final int MAX_UNATTENDED_INTERVALS = 3;

    private final EventLoop loop;
    private final Clock clock;
    private final Random random;
    private final Listener listener;
    private final DiscoveryLog discoveryLog;
    private final ListCurrency currency;
    private final DiscoveryCallSchedule schedule;
    private final WaitingCalls waitingCalls;
    private final DiscoveryCalls calls;
    private final EndpointListReceiver receiver;
    private final WatchGuard watchGuard;
    private InetSocketAddress address;
    /** True from when an open watch is found silent to the next answer. */
    private boolean silenceReported;
    /** False until the first call. */
    private boolean called;

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
        this.listener = listener;
        this.schedule = settings.schedule();
        this.currency = schedule.currency();
        this.random = new Random(settings.seed());
        this.discoveryLog = new DiscoveryLog(clock, currency, log);
        this.waitingCalls = new WaitingCalls(schedule);
        this.watchGuard = new WatchGuard(log);
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channel(channels)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, NO_CONNECT_TIMEOUT)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new TurnTimeReadAllocator(loop, clock, MAX_READ_MILLIS_PER_TURN));
        this.calls = new DiscoveryCalls(
                loop,
                (to, version, state) -> connect(bootstrap, newCall(settings.memory(), mapper, to, version, state)),
                clock,
                waitingCalls,
                discoveryLog,
                random,
                MAX_UNATTENDED_INTERVALS * currency.callIntervalMillis());
        this.receiver =
                new EndpointListReceiver(calls, clock, currency, listener, new CallListener(), discoveryLog, log);
        receiver.rememberLastKnown(settings.lastKnownList(), address);
        loop.scheduleAtFixedRate(this::checkCalls, CHECK_INTERVAL_MILLIS, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private WatchCall newCall(
            MemoryBudget memory, ObjectMapper mapper, InetSocketAddress to, Long version, CallState state) {
        EndpointListDecoder decoder = new EndpointListDecoder(mapper, memory.newHolding(MemoryUse.ENDPOINT_LISTS));
        return new WatchCall(to, version, state, clock, decoder, receiver);
    }

    private static WatchCall connect(Bootstrap bootstrap, WatchCall call) {
        call.connect(bootstrap);
        return call;
    }

    private void checkCalls() {
        double now = clock.now();
        if (called && watchGuard.unwatched(now, waitingCalls.callNeeded(now), schedule.nextCallMillis())) {
            open();
        } else if (silenceUnnoticed(now)
                || waitingCalls.unattendedSilentWatch(now) != null
                || waitingCalls.callDue(now)) {
            // After a late turn, what has come may not have been read yet.
            SelectBarrier.runAfterSelect(loop, this::attendToCalls);
        } else if (waitingCalls.confirmationDue(now, random.nextDouble())) {
            open();
        }
        calls.closeExpired();
        discoveryLog.tick();
    }

    private boolean silenceUnnoticed(double nowMillis) {
        return currency.reliable() && waitingCalls.watchSilent(nowMillis);
    }

    private void open() {
        called = true;
        calls.open(address, receiver.version());
        after(schedule.callBesideMillis(), this::attendIfCallDue);
    }

    private void after(double atMillis, Runnable task) {
        double delayMillis = Math.max(0, atMillis - clock.now());
        loop.schedule(task, (long) Math.ceil(delayMillis * NANOS_PER_MILLI), TimeUnit.NANOSECONDS);
    }

    private void attendIfCallDue() {
        if (waitingCalls.callDue(clock.now())) {
            SelectBarrier.runAfterSelect(loop, this::attendToCalls);
        }
    }

    private void attendToCalls() {
        double now = clock.now();
        if (silenceUnnoticed(now)) {
            schedule.silenceNoticed(now);
        }
        CallState silent = waitingCalls.unattendedSilentWatch(now);
        if (silent != null && !silenceReported) {
            // It stays open until another call is answered: it may only be late.
            silenceReported = true;
            listener.watchFailed(WatchEvent.IDLE_TIMEOUT);
            discoveryLog.callEnded(CallEnd.SILENT, silent.ageMillis(now), schedule.nextCallMillis());
        } else if (waitingCalls.callDue(now)) {
            open();
        }
    }

    /** Starts a watch, unless one is open that can be relied on, or a call waits for its first list. */
    public void watch() {
        if (waitingCalls.callNeeded(clock.now())) {
            open();
        }
    }

    /**
     * Moves the watch to another address; the old list stays in use until the new one arrives. A snapshot is
     * requested, since another service may count its versions differently and no change must be missed.
     */
    public void migrate(InetSocketAddress newAddress) {
        if (newAddress.equals(address)) {
            return;
        }
        address = newAddress;
        receiver.requireSnapshot();
        currency.moved(clock.now());
        calls.abandonAll();
        calls.resume(newAddress, receiver.listCameMillis());
        listener.watchFailed(WatchEvent.MOVED);
    }

    /** Renews the watch when a call ends. */
    private final class CallListener implements EndpointListReceiver.CallListener {
        @Override
        public void callAnswered() {
            silenceReported = false;
        }

        // Another call may still be answered, or be followed by one in its time.
        @Override
        public double callEnded(CallEnd end) {
            if (waitingCalls.callNeeded(clock.now())) {
                listener.watchFailed(end == CallEnd.REJECTED ? WatchEvent.REJECTED : WatchEvent.FAILED);
            }
            return schedule.nextCallMillis();
        }
    }
}
