package loadbalancer.discovery;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Consumer;
import loadbalancer.eventloop.Clock;
import loadbalancer.policy.ListCurrency;
import loadbalancer.policy.WatchEvent;

/**
 * Receives what comes on all calls to discovery and uses it for what it proves: a newer list is taken, an answer or a
 * line says as of when the list is current, and of a call that is abandoned the drains count. Runs on the event loop.
 */
final class EndpointListReceiver implements WatchCall.Listener {
    /** Is notified of answers and of the ends of calls. */
    interface CallListener {
        /** A call has brought its first list. */
        void callAnswered();

        /** A call that was waited for, or the watch, has ended; returns when the next one begins, or NaN. */
        double callEnded(CallEnd end);
    }

    private final DiscoveryCalls calls;
    private final Clock clock;
    private final ListCurrency currency;
    private final DiscoveryClient.Listener listListener;
    private final CallListener callListener;
    private final DiscoveryLog discoveryLog;
    private final Consumer<String> log;
    private final RetiredEndpoints retiredEndpoints;
    /** The version of the last list, or null if the next one has to be a snapshot. */
    private Long version;

    private double listCameMillis = Double.NEGATIVE_INFINITY;
    /** True from a malformed list to the next good one: it is logged once. */
    private boolean malformedListLogged;

    /** A receiver that knows no list. */
    EndpointListReceiver(
            DiscoveryCalls calls,
            Clock clock,
            ListCurrency currency,
            DiscoveryClient.Listener listListener,
            CallListener callListener,
            DiscoveryLog discoveryLog,
            Consumer<String> log) {
        this.calls = calls;
        this.clock = clock;
        this.currency = currency;
        this.listListener = listListener;
        this.callListener = callListener;
        this.discoveryLog = discoveryLog;
        this.log = log;
        this.retiredEndpoints = new RetiredEndpoints(log);
    }

    /** Takes the list known at the start, as this address had it; null if there is none. */
    void rememberLastKnown(EndpointList list, InetSocketAddress address) {
        if (list != null) {
            version = list.version();
            retiredEndpoints.apply(list, address, Double.NEGATIVE_INFINITY, clock.now());
        }
    }

    /** Returns the version of the last list, or null if the next one has to be a snapshot. */
    Long version() {
        return version;
    }

    /** Returns when the last list came; negative infinity if none has. */
    double listCameMillis() {
        return listCameMillis;
    }

    /** The next list has to be a snapshot: another service may count its versions differently. */
    void requireSnapshot() {
        version = null;
    }

    @Override
    public void objectReceived(WatchCall call, JsonNode object) throws EndpointListException {
        EndpointList list = EndpointList.parse(object);
        CallState state = call.state();
        boolean outdated = isOutdated(call, list.version());
        if (state.role() == CallRole.ABANDONED || outdated) {
            retire(list, call);
            if (outdated) {
                closeOutdated(call);
            }
            return;
        }
        if (!list.snapshot() && version != null && list.version() < version) {
            // The service counts its versions anew: the changes may not be all since the list in use.
            version = null;
            throw new EndpointListException("the version goes back; a snapshot is requested");
        }
        boolean newer = version != null && list.version() > version;
        version = list.version();
        listCameMillis = clock.now();
        malformedListLogged = false;
        lineReceived(call, false, newer);
        listListener.endpointsReceived(
                list.snapshot() ? WatchEvent.SNAPSHOT : WatchEvent.DELTA,
                retiredEndpoints.apply(list, call.address(), state.begunAtMillis(), clock.now()));
    }

    private void retire(EndpointList list, WatchCall call) {
        CallState state = call.state();
        if (!state.watching()) {
            state.markWatching(clock.now());
        }
        List<EndpointList.Entry> retirements =
                retiredEndpoints.applyRetirements(list, call.address(), state.begunAtMillis(), clock.now());
        if (!retirements.isEmpty()) {
            listListener.endpointsReceived(
                    WatchEvent.RETIREMENTS, new EndpointList(list.version(), false, retirements));
        }
    }

    @Override
    public void linesEnded(WatchCall call, int emptyLines) {
        if (call.state().role() == CallRole.ABANDONED) {
            return;
        }
        if (isOutdated(call, call.knownVersion())) {
            closeOutdated(call);
            return;
        }
        lineReceived(call, emptyLines > 0, false);
        for (int i = 1; i < emptyLines; i++) {
            lineReceived(call, true, false);
        }
    }

    /**
     * Returns true if the first answer of a call was held up on its way, and another call has brought more since the
     * call began. A call that began later shows by an older version that the service counts anew.
     */
    private boolean isOutdated(WatchCall call, Long answeredVersion) {
        CallState state = call.state();
        boolean begunBefore = state.role() == CallRole.SUPERSEDED
                || state.role() == CallRole.WAITING && state.begunAtMillis() < listCameMillis;
        return begunBefore && version != null && answeredVersion != null && answeredVersion < version;
    }

    private void closeOutdated(WatchCall call) {
        boolean unattended = call.state().unattended();
        calls.close(call);
        if (!unattended) {
            reportEnd(call, CallEnd.OUTDATED);
        }
    }

    /** A line of a call came: its first one answers the call, a further one shows that the watch is alive. */
    private void lineReceived(WatchCall call, boolean empty, boolean newer) {
        CallState state = call.state();
        if (!state.watching()) {
            callListener.callAnswered();
            currency.answered(state.sentMillis());
            calls.answered(call, newer);
        } else if (state.evidence().lineReceived(clock.now(), empty)) {
            currency.confirmed(state.evidence().earliestWrittenMillis());
        }
        if (currency.reliable()) {
            discoveryLog.listCurrent(version);
        } else {
            discoveryLog.versionReceived(version);
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
        boolean unattended = call.state().unattended();
        calls.ended(call, end);
        if (!unattended) {
            reportEnd(call, end);
        }
    }

    private void reportEnd(WatchCall call, CallEnd end) {
        double nextCallMillis = callListener.callEnded(end);
        discoveryLog.callEnded(end, call.state().ageMillis(clock.now()), nextCallMillis);
    }
}
