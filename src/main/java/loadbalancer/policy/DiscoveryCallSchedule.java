package loadbalancer.policy;

import java.util.SplittableRandom;

/**
 * The one decision of when the next call to discovery begins: without a watch that can be relied on, beside a call that
 * is not answered, and beside a watch whose lines may be late. It is told what becomes of calls and watch, does no I/O
 * and reads no clock; times are in milliseconds on the policy's clock.
 */
public final class DiscoveryCallSchedule {
    private final ListCurrency currency;
    private final CallPacing pacing;
    private final WatchConfirmation confirmation;
    private final InitialListTerm initialList = new InitialListTerm();
    /** NaN while no call is due, since one waits for its answer or a watch is open. */
    private double nextCallMillis = Double.NaN;
    /** Infinity while no call waits for its answer. */
    private double callBesideMillis = Double.POSITIVE_INFINITY;
    /** False until the first call: a list that comes before is none that a call has brought. */
    private boolean called;

    /**
     * A schedule of a process that has not started.
     *
     * @param random draws the spreads of calls over a fleet
     */
    public DiscoveryCallSchedule(PolicySettings settings, ListCurrency currency, SplittableRandom random) {
        this.currency = currency;
        this.pacing = CallPacing.of(settings, currency, random);
        this.confirmation = new WatchConfirmation(currency, !settings.endpointListPolled(), settings.sidecarCount());
    }

    /** Returns the judge of how current the list is, which whoever receives lists tells what it learns. */
    public ListCurrency currency() {
        return currency;
    }

    /** The process has started. */
    void started(double nowMillis) {
        currency.started(nowMillis);
        nextCallMillis = pacing.afterStart(nowMillis);
        initialList.started(nowMillis, nextCallMillis);
    }

    /** The open watch was found silent, whether calls wait beside it or not; further times change nothing. */
    public void silenceNoticed(double nowMillis) {
        if (!currency.reliable()) {
            return;
        }
        currency.watchFellSilent(nowMillis);
        if (callBesideMillis < Double.POSITIVE_INFINITY) {
            callBesideMillis = Math.min(callBesideMillis, pacing.besideUnanswered(nowMillis));
        }
    }

    /** The open watch fell silent, and no call waits. */
    void watchFellSilent(double nowMillis) {
        nextCallMillis = pacing.afterSilence(nowMillis);
    }

    /** Discovery moved. In a series of moves the earliest of the calls drawn holds. */
    void moved(double nowMillis) {
        double pendingMillis = Double.isNaN(nextCallMillis) ? Double.POSITIVE_INFINITY : nextCallMillis;
        nextCallMillis = Math.min(pendingMillis, pacing.afterMove(nowMillis));
    }

    /** The last call that waited ended, or the watch, and there is no other. */
    void callEnded(double nowMillis) {
        nextCallMillis = pacing.afterEnd(nowMillis);
    }

    /** The same by a rejection: the service may be overloaded. */
    void callRejected(double nowMillis) {
        nextCallMillis = pacing.afterRejection(nowMillis);
    }

    /** A call is asked for that begins unless one waits already, or a watch is open that can be relied on. */
    void callRequested(double nowMillis) {
        nextCallMillis = Double.NaN;
        called = true;
        pacing.callRequested(nowMillis);
    }

    /**
     * A call begins.
     *
     * @param besideReliableWatch true if it begins beside a watch that can be relied on
     */
    public void callBegun(double nowMillis, boolean besideReliableWatch) {
        called = true;
        pacing.callBegun(nowMillis);
        if (besideReliableWatch) {
            confirmation.begun(nowMillis);
        }
        callWaits(nowMillis);
    }

    /** A call waits for its answer from now on, such as one at an address that is wanted again. */
    public void callWaits(double nowMillis) {
        callBesideMillis = pacing.besideUnanswered(nowMillis);
    }

    /** The service has rejected a call so long after it was sent, whether it was waited for or not. */
    public void rejectedAfter(double waitMillis) {
        pacing.rejectedAfter(waitMillis);
    }

    /** The last call that waited has ended without an answer, or is no longer waited for. */
    public void noCallWaits() {
        pacing.noCallWaits();
    }

    /** A call was answered, whether its list is newer or not: those beside it are waited for no longer. */
    public void callAnswered() {
        listReceived();
        pacing.noCallWaits();
        callBesideMillis = Double.POSITIVE_INFINITY;
    }

    /** A current list came, or changes to it. */
    void listReceived() {
        initialList.listReceived();
        if (called) {
            pacing.callAnswered();
            nextCallMillis = Double.NaN;
        }
    }

    /** Returns true if requests may be sent by the list in use: by that of the start only for its term. */
    boolean listUsable(double nowMillis) {
        return initialList.listUsable(nowMillis);
    }

    /** Returns when the next call begins if there is no watch that can be relied on; NaN while none is due. */
    public double nextCallMillis() {
        return nextCallMillis;
    }

    /** Returns when a call begins beside those that wait; infinity while none waits. */
    public double callBesideMillis() {
        return callBesideMillis;
    }

    /**
     * Returns true if a further call has to begin beside those that wait.
     *
     * @param reliableWatch the evidence of the open watch if it can be relied on, or null
     */
    public boolean callBesideDue(double nowMillis, WatchEvidence reliableWatch) {
        return nowMillis >= callBesideMillis
                && (reliableWatch == null || confirmation.mayFollowUnanswered(nowMillis, reliableWatch));
    }

    /**
     * Returns true if a call has to begin beside the open watch, whose lines may be late.
     *
     * @param random from 0 to 1
     */
    public boolean confirmationDue(double nowMillis, WatchEvidence reliableWatch, double random) {
        return confirmation.due(nowMillis, reliableWatch, random);
    }

    /** A call beside the watch that was sent at this time has brought more than the watch had. */
    public void watchFoundLate(double sentMillis) {
        confirmation.watchFoundLate(sentMillis);
    }

    /** A call beside the watch was answered with nothing newer, and no earlier than the watch would have told it. */
    public void watchConfirmed(WatchEvidence watch) {
        confirmation.watchConfirmed(watch);
    }
}
