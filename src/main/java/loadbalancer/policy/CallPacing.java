package loadbalancer.policy;

import java.util.SplittableRandom;

/**
 * How long calls to discovery wait, by who serves them and how many call. Each method returns the time, in milliseconds
 * on the policy's clock, at which the next call begins.
 *
 * <p>Discovery that answers now may be out of reach a moment later, while the time within which a change must be in
 * force runs on. So a pause stands only for load that is really there: that of many callers at one service.
 */
interface CallPacing {
    /** Returns the pacing that these settings ask for; the random generator draws all spreads. */
    static CallPacing of(PolicySettings settings, ListCurrency currency, SplittableRandom random) {
        if (!settings.endpointListPolled()) {
            return new LocalAgentPacing(currency);
        }
        FleetSpread spread = new FleetSpread(settings, currency);
        int sidecars = settings.sidecarCount();
        return sidecars <= FleetSpread.SIDECARS_ANSWERED_IN_TURN
                ? new SmallFleetPacing(currency, sidecars, spread, random)
                : new LargeFleetPacing(currency, sidecars, spread, random);
    }

    /** The process has started. */
    double afterStart(double nowMillis);

    /** Discovery has moved, for all sidecars at once. */
    double afterMove(double nowMillis);

    /** The open watch fell silent, which is no sign of a fault of the service. */
    double afterSilence(double nowMillis);

    /** The last call that waited, or the watch, ended without a rejection. */
    double afterEnd(double nowMillis);

    /** The service rejected a call. */
    double afterRejection(double nowMillis);

    /** Returns when a further call begins beside one that began now, unless that one is answered. */
    double besideUnanswered(double nowMillis);

    /** A call is asked for now, for none waits. */
    void callRequested(double nowMillis);

    /** A call begins now. */
    void callBegun(double nowMillis);

    /** None of the calls that were begun waits any more, whatever ended the last one. */
    void noCallWaits();

    /** The service has rejected a call so long after it was sent. */
    void rejectedAfter(double waitMillis);

    /** A call was answered: what had been counted of failed calls counts no longer. */
    void callAnswered();
}
