package loadbalancer.policy;

/**
 * Decides when a call beside an open watch confirms it, whose lines may be later than is accepted: its path was late
 * from the beginning, or lists come so steadily that nothing bounds their delay. Times are in milliseconds on the
 * policy's clock.
 *
 * <p>A sidecar of a small fleet makes one such call a term at most, unless the watch has grown more doubtful meanwhile
 * or a call has brought more than the watch had: then calls follow each other as they do beside a watch that has been
 * silent. In a large fleet all watches may become doubtful together, by the same changes, and their calls must not
 * crowd a service that needs a whole term for one call of each.
 */
final class WatchConfirmation {
    private static final double SMALL_FLEET_SPREAD_MILLIS_PER_SIDECAR = 50;
    private static final int LARGE_FLEET_MIN_INTERVAL_TERMS = 2;
    private static final double LARGE_FLEET_SPREAD_FRACTION = 0.5;
    /** By how much the bound of a path may move that stays as it is. */
    private static final double BOUND_TOLERANCE_MILLIS = 20;

    private final ListCurrency currency;
    private final boolean callsMayCrowd;
    private final double confirmedPathDelayLimitMillis;
    private final double intervalMillis;
    private final double spreadMillis;
    private double earliestMillis = Double.NEGATIVE_INFINITY;
    /** Grows to what the bound of a watch was when a call confirmed it. */
    private double acceptedPathDelayMillis;
    /** NaN while the watch is prompt. */
    private double dueMillis = Double.NaN;

    /**
     * No call yet.
     *
     * @param localAgent true if calls go to a local agent, which serves nobody else
     * @param sidecars how many call the same service
     */
    WatchConfirmation(ListCurrency currency, boolean localAgent, int sidecars) {
        this.currency = currency;
        this.callsMayCrowd = !localAgent && sidecars > FleetSpread.SIDECARS_ANSWERED_IN_TURN;
        this.acceptedPathDelayMillis = currency.acceptedPathDelayMillis(localAgent);
        this.confirmedPathDelayLimitMillis =
                localAgent ? currency.confirmedAgentPathDelayMillis() : acceptedPathDelayMillis;
        if (localAgent) {
            this.intervalMillis = currency.callIntervalMillis();
            this.spreadMillis = 0;
        } else if (callsMayCrowd) {
            this.intervalMillis = Math.max(
                    LARGE_FLEET_MIN_INTERVAL_TERMS * currency.termMillis(), sidecars * FleetSpread.MILLIS_PER_SIDECAR);
            this.spreadMillis = intervalMillis * LARGE_FLEET_SPREAD_FRACTION;
        } else {
            this.intervalMillis = currency.termMillis();
            this.spreadMillis = sidecars * SMALL_FLEET_SPREAD_MILLIS_PER_SIDECAR;
        }
    }

    /**
     * Returns true if a call has to begin now beside the watch.
     *
     * @param random from 0 to 1
     */
    boolean due(double nowMillis, WatchEvidence watch, double random) {
        if (!doubtful(nowMillis, watch)) {
            dueMillis = Double.NaN;
            return false;
        }
        if (Double.isNaN(dueMillis)) {
            dueMillis = Math.max(nowMillis, earliestMillis) + spreadMillis * random;
        }
        return nowMillis >= dueMillis;
    }

    private boolean doubtful(double nowMillis, WatchEvidence watch) {
        return watch.idlePathBoundMillis() > acceptedPathDelayMillis
                || nowMillis - watch.earliestWrittenMillis() > currency.acceptedAgeMillis();
    }

    /** Returns true if a further call may begin though one is unanswered beside this watch, which can be relied on. */
    boolean mayFollowUnanswered(double nowMillis, WatchEvidence watch) {
        double longestAgeMillis = currency.acceptedAgeMillis() + currency.callIntervalMillis();
        boolean moreDoubtful = nowMillis - watch.earliestWrittenMillis() > longestAgeMillis;
        return nowMillis >= earliestMillis || moreDoubtful && !callsMayCrowd;
    }

    /** A call has begun beside a watch that can be relied on. */
    void begun(double nowMillis) {
        earliestMillis = nowMillis + intervalMillis;
        dueMillis = Double.NaN;
    }

    /**
     * A call was answered with nothing newer, and no earlier than the watch would have told it: the path can't be had
     * better. A delay that stays as it is and leaves time within the grace needs no further call; one that grows does.
     */
    void watchConfirmed(WatchEvidence watch) {
        double boundMillis = watch.idlePathBoundMillis() + BOUND_TOLERANCE_MILLIS;
        if (boundMillis <= confirmedPathDelayLimitMillis) {
            acceptedPathDelayMillis = Math.max(acceptedPathDelayMillis, boundMillis);
        }
    }

    /** A call that was sent at this time has brought more than the watch had. */
    void watchFoundLate(double sentMillis) {
        if (!callsMayCrowd) {
            earliestMillis = sentMillis + currency.callIntervalMillis();
            dueMillis = earliestMillis;
        }
    }
}
