package loadbalancer.discovery;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import loadbalancer.eventloop.Clock;

/**
 * The one keeper of all open calls to discovery: it alone opens and closes them, and chooses the watch. Each call is
 * read as long as it is open. One that is no longer waited for is left to the service, which handles it in any case
 * and looks at a call that closes as at a sidecar that has left. Runs on the event loop; times are in milliseconds.
 */
final class DiscoveryCalls {
    /** Of those that are superseded or abandoned; the one that began first is closed. */
    private static final int MAX_UNATTENDED = 16;

    /** Makes a call that is being connected. */
    interface Connector {
        WatchCall connect(InetSocketAddress address, Long version, CallState state);
    }

    private final EventLoop loop;
    private final Connector connector;
    private final Clock clock;
    private final WaitingCalls waitingCalls;
    private final DiscoveryLog log;
    private final Random random;
    private final double maxUnattendedAgeMillis;
    /** All that are open, in the order in which they began. */
    private final List<WatchCall> calls = new ArrayList<>();

    /**
     * No calls.
     *
     * @param maxUnattendedAgeMillis a call that is superseded or abandoned is closed when it is as old as that
     */
    DiscoveryCalls(
            EventLoop loop,
            Connector connector,
            Clock clock,
            WaitingCalls waitingCalls,
            DiscoveryLog log,
            Random random,
            double maxUnattendedAgeMillis) {
        this.loop = loop;
        this.connector = connector;
        this.clock = clock;
        this.waitingCalls = waitingCalls;
        this.log = log;
        this.random = random;
        this.maxUnattendedAgeMillis = maxUnattendedAgeMillis;
    }

    /**
     * Opens another call.
     *
     * @param version of which to receive changes, or null to receive the whole list
     */
    void open(InetSocketAddress address, Long version) {
        double now = clock.now();
        CallState replaced = waitingCalls.replaceable(now);
        if (replaced != null) {
            giveUp(replaced, now);
        }
        CallState state = waitingCalls.begin(now, random.nextDouble());
        log.callBegun();
        calls.add(connector.connect(address, version, state));
    }

    private void giveUp(CallState state, double now) {
        log.callEnded(state.silence(), state.ageMillis(now), Double.NaN);
        boolean outOfDate = state.stalled(now) || state.ageMillis(now) > maxUnattendedAgeMillis;
        waitingCalls.givenUp(state, now);
        if (outOfDate) {
            close(find(state));
        } else {
            leave(state, CallRole.SUPERSEDED);
        }
    }

    private WatchCall find(CallState state) {
        for (WatchCall call : calls) {
            if (call.state() == state) {
                return call;
            }
        }
        throw new IllegalStateException("no such call is open");
    }

    /** Closes a call that has ended by itself. */
    void ended(WatchCall call, CallEnd end) {
        calls.remove(call);
        if (end == CallEnd.REJECTED) {
            waitingCalls.rejected(call.state(), clock.now());
        }
        waitingCalls.ended(call.state());
        call.close();
    }

    /** Closes a call once what has come on it by now is read. */
    void close(WatchCall call) {
        calls.remove(call);
        waitingCalls.ended(call.state());
        call.state().setRole(CallRole.ABANDONED);
        call.closeOnceRead(loop);
    }

    private void leave(CallState call, CallRole role) {
        call.setRole(role);
        List<WatchCall> unattended =
                calls.stream().filter(other -> other.state().unattended()).toList();
        if (unattended.size() > MAX_UNATTENDED) {
            close(unattended.get(0));
        }
    }

    /**
     * A call has brought its first list. It becomes the watch if there is none that can be relied on, if it has brought
     * more, or if it was late by less than the watch may be; else it is closed.
     *
     * @param newer true if its list is newer than the one in force
     */
    void answered(WatchCall call, boolean newer) {
        double now = clock.now();
        CallState state = call.state();
        if (!waitingCalls.better(state, newer, now)) {
            state.markWatching(now);
            close(call);
            waitingCalls.supersedeWaiting().forEach(this::supersede);
            return;
        }
        if (waitingCalls.watchReliable(now)) {
            log.watchReplaced(state.ageMillis(now));
        }
        state.setRole(CallRole.WATCH);
        waitingCalls.answered(state, now).forEach(this::supersede);
    }

    private void supersede(CallState call) {
        if (call.watching()) {
            close(find(call));
        } else {
            leave(call, CallRole.SUPERSEDED);
        }
    }

    /**
     * Discovery has moved: the watch is closed, which is no failure. A call that has not been answered goes on, for it
     * may name endpoints that drain, and in a series of moves its address may be wanted again.
     */
    void abandonAll() {
        for (WatchCall call : List.copyOf(calls)) {
            CallState state = call.state();
            if (state.role() == CallRole.WATCH) {
                close(call);
            } else if (state.role() != CallRole.ABANDONED) {
                waitingCalls.ended(state);
                leave(state, CallRole.ABANDONED);
            }
        }
    }

    /**
     * Lets a call that waits at this address count again.
     *
     * @param listCameMillis when the list in force came; a call that asked for changes since an earlier one can't go on
     */
    void resume(InetSocketAddress address, double listCameMillis) {
        for (WatchCall call : calls) {
            CallState state = call.state();
            boolean based = call.knownVersion() == null || state.begunAtMillis() >= listCameMillis;
            if (call.address().equals(address) && !state.watching() && based) {
                state.setRole(CallRole.WAITING);
                waitingCalls.resume(state, clock.now());
                return;
            }
        }
    }

    /** Closes the calls whose answer would be too old to be used. */
    void closeExpired() {
        double now = clock.now();
        for (WatchCall call : List.copyOf(calls)) {
            if (call.state().unattended() && call.state().ageMillis(now) > maxUnattendedAgeMillis) {
                close(call);
            }
        }
    }
}
