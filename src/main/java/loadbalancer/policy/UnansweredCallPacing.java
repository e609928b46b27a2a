package loadbalancer.policy;

/**
 * When a further call begins beside one that a service shared by a fleet has not answered. A call that waits for its
 * turn costs the service, and one that got lost does not: so the first further call waits until the service would have
 * come round to the call, or rejected it, and those behind it follow as closely as the service could bear if it were in
 * reach again. Both times grow with the fleet, up to those that the term asks for. A service that has rejected a call
 * after a wait is crowded, and called no faster than by the term. Times are in milliseconds on the policy's clock.
 */
final class UnansweredCallPacing {
    /** What a service that is slow takes for one call. */
    private static final double SLOW_SERVICE_MILLIS_PER_CALL = 100;
    /** What a service takes for one call otherwise. */
    private static final double SERVICE_MILLIS_PER_CALL = 20;

    /** A service that is down rejects calls at once. */
    private static final double MIN_CROWDED_WAIT_MILLIS = 1000;

    private final ListCurrency currency;
    private final double firstIntervalMillis;
    private final double furtherIntervalMillis;
    /** When the first of the calls that wait began; infinity while none waits. */
    private double waitingSinceMillis = Double.POSITIVE_INFINITY;
    /** True from a call that was rejected after a wait to the next answer. */
    private boolean crowded;

    /**
     * A pacing of no calls yet.
     *
     * @param sidecars how many call the same service
     */
    UnansweredCallPacing(ListCurrency currency, int sidecars) {
        this.currency = currency;
        this.firstIntervalMillis = intervalMillis(sidecars, SLOW_SERVICE_MILLIS_PER_CALL);
        this.furtherIntervalMillis = intervalMillis(sidecars, SERVICE_MILLIS_PER_CALL);
    }

    private static double intervalMillis(int sidecars, double millisPerCall) {
        return Math.max(NotificationBudget.MIN_INTERVAL_MILLIS, sidecars * millisPerCall);
    }

    /** A call begins now. */
    void callBegun(double nowMillis) {
        waitingSinceMillis = Math.min(waitingSinceMillis, nowMillis);
    }

    /** No call waits any more. */
    void noneWaits() {
        waitingSinceMillis = Double.POSITIVE_INFINITY;
    }

    /** The service has rejected a call so long after it was sent. */
    void rejected(double afterMillis) {
        crowded |= afterMillis >= MIN_CROWDED_WAIT_MILLIS;
    }

    /** The service has answered a call. */
    void answered() {
        crowded = false;
    }

    /** Returns when the next call begins, unless one of those that wait is answered before. */
    double nextCallMillis(double nowMillis) {
        double termIntervalMillis = currency.callIntervalMillis(nowMillis);
        if (crowded) {
            return nowMillis + termIntervalMillis;
        }
        double firstDueMillis = Math.min(nowMillis, waitingSinceMillis) + firstIntervalMillis;
        double paceMillis = Math.max(furtherIntervalMillis, firstDueMillis - nowMillis);
        double dueMillis = currency.dueCallIntervalMillis(nowMillis);
        return nowMillis + Math.min(termIntervalMillis, Math.min(paceMillis, dueMillis));
    }
}
