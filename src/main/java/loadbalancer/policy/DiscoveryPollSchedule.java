package loadbalancer.policy;

import java.util.SplittableRandom;

/**
 * When to open the watch on the endpoint list.
 *
 * <p>A discovery service that starts or returns must not be met by all sidecars at once: it would reject most of them,
 * and they would keep it overloaded. So polls are spread by the number of sidecars, with exponential backoff.
 */
final class DiscoveryPollSchedule {
    /** Backoff after the first failure; doubled with each further one. */
    private static final double MIN_BACKOFF_MILLIS = 300;

    private static final double MAX_BACKOFF_MILLIS = 1000;

    /** Time over which polls are spread, for each sidecar of the fleet. */
    static final double SPREAD_MILLIS_PER_SIDECAR = 200;

    /** The calls of so many sidecars may wait for their turn together without one that is rejected. */
    static final int SIDECARS_ANSWERED_IN_TURN = 8;

    /** Spread for each sidecar of a fleet that is as small as that. */
    private static final double SMALL_FLEET_SPREAD_MILLIS_PER_SIDECAR = 10;

    /** The spread at most, as a fraction of the poll deadline. */
    private static final double MAX_SPREAD_DEADLINE_FRACTION = 0.4;

    /** Longest spread after a move, whose list is due within 4 s. */
    private static final double MAX_MOVE_SPREAD_MILLIS = 1000;

    /** A failed poll is repeated after 0.5 to 1.5 times the backoff, drawn anew each time. */
    private static final double MIN_BACKOFF_FACTOR = 0.5;

    private static final double MAX_BACKOFF_FACTOR = 1.5;

    /** The shortest of the times over which calls are spread after a rejection; doubled with each further one. */
    private static final double MIN_REJECTED_SPREAD_MILLIS = 600;

    private static final double REJECTED_SPREAD_FRACTION = 0.5;

    /** The shortest of the times over which calls are spread after a failure, as a fraction of the first spread. */
    private static final double MIN_FAILED_SPREAD_FRACTION = 0.35;

    private final PolicySettings settings;
    private final SplittableRandom random;
    private final PolicyActions actions;
    private final ListCurrency currency;
    /** NaN while no poll is due. */
    private double nextPollMillis = Double.NaN;

    private double backoffMillis = MIN_BACKOFF_MILLIS;
    /** When the last poll began, unless it has brought a list. */
    private double unansweredPollMillis = Double.POSITIVE_INFINITY;

    private boolean polled;
    private int rejections;

    DiscoveryPollSchedule(
            PolicySettings settings, ListCurrency currency, SplittableRandom random, PolicyActions actions) {
        this.settings = settings;
        this.currency = currency;
        this.random = random;
        this.actions = actions;
    }

    /** Schedules the first poll, unless lists are pushed. */
    void start(double nowMillis) {
        if (settings.endpointListPolled()) {
            pollWithin(nowMillis, spreadMillis());
        }
    }

    /**
     * The watch was idle for too long. That is no sign of a fault, and what changed meanwhile is due soon: the poll
     * goes out at once, since the sidecars' idle timeouts are randomized already.
     */
    void idleTimeout(double nowMillis) {
        backoffMillis = MIN_BACKOFF_MILLIS;
        rejections = 0;
        pollWithin(nowMillis, 0);
    }

    /** Discovery moved, for all sidecars at once. In a series of moves the earliest of the polls drawn holds. */
    void moved(double nowMillis) {
        backoffMillis = MIN_BACKOFF_MILLIS;
        rejections = 0;
        double pendingMillis = Double.isNaN(nextPollMillis) ? Double.POSITIVE_INFINITY : nextPollMillis;
        double drawnMillis = nowMillis + Math.min(MAX_MOVE_SPREAD_MILLIS, spreadMillis()) * random.nextDouble();
        pollAt(Math.min(pendingMillis, drawnMillis));
    }

    /** The poll or the watch failed; backoff and spread are fitted into what is left until the next call is due. */
    void failed(double nowMillis) {
        double longestMillis = backoffMillis * MAX_BACKOFF_FACTOR + spreadMillis();
        double intervalMillis = Math.max(minPauseAfterFailureMillis(), currency.maxPauseAfterFailureMillis(nowMillis));
        double leftMillis = intervalMillis - Math.max(0, nowMillis - unansweredPollMillis);
        double scale = Math.min(1, Math.max(MIN_BACKOFF_MILLIS, leftMillis) / longestMillis);
        double fromMillis = nowMillis + scale * backoffMillis * (MIN_BACKOFF_FACTOR + random.nextDouble());
        pollWithin(fromMillis, scale * spreadMillis());
        if (backoffMillis == MIN_BACKOFF_MILLIS) {
            actions.log("endpoint list unavailable, using the last known list");
        }
        backoffMillis = Math.min(Math.min(MAX_BACKOFF_MILLIS, currency.callIntervalMillis()), backoffMillis * 2);
    }

    /**
     * The service rejected a call. If it is overloaded, calls that come as fast as before are rejected as well, and the
     * time that it spends on them is lost for all: so they are spread wider after each rejection.
     */
    void rejected(double nowMillis) {
        if (rejections == 0 && backoffMillis == MIN_BACKOFF_MILLIS) {
            actions.log("endpoint list unavailable, using the last known list");
        }
        double wantedMillis = spreadMillis() * REJECTED_SPREAD_FRACTION * Math.pow(2, rejections);
        double maxMillis = currency.maxPauseAfterRejectionMillis(nowMillis) - MIN_BACKOFF_MILLIS;
        double spreadMillis = Math.min(Math.max(MIN_REJECTED_SPREAD_MILLIS, wantedMillis), maxMillis);
        rejections++;
        pollWithin(nowMillis + MIN_BACKOFF_MILLIS * MIN_BACKOFF_FACTOR, Math.max(0, spreadMillis));
    }

    /** A current list, or changes to it, arrived. */
    void listReceived() {
        if (!polled) {
            return;
        }
        if (backoffMillis > MIN_BACKOFF_MILLIS || rejections > 0) {
            actions.log("endpoint list available again");
        }
        rejections = 0;
        nextPollMillis = Double.NaN;
        backoffMillis = MIN_BACKOFF_MILLIS;
        unansweredPollMillis = Double.POSITIVE_INFINITY;
    }

    /** Polls if the time has come. */
    void wake(double nowMillis) {
        if (nextPollMillis <= nowMillis) {
            nextPollMillis = Double.NaN;
            polled = true;
            unansweredPollMillis = nowMillis;
            actions.watchEndpoints();
        }
    }

    private void pollWithin(double fromMillis, double spreadMillis) {
        pollAt(fromMillis + spreadMillis * random.nextDouble());
    }

    private void pollAt(double atMillis) {
        nextPollMillis = atMillis;
        actions.scheduleWake(nextPollMillis);
    }

    // Where a watch fell silent the term runs on whatever the calls meet; else a service may return to a whole fleet.
    private double minPauseAfterFailureMillis() {
        return currency.reliable()
                ? Math.max(MIN_BACKOFF_MILLIS, spreadMillis() * MIN_FAILED_SPREAD_FRACTION)
                : MIN_BACKOFF_MILLIS;
    }

    private double fleetSpreadMillis() {
        int sidecars = settings.sidecarCount();
        return Math.max(
                sidecars * SMALL_FLEET_SPREAD_MILLIS_PER_SIDECAR,
                (sidecars - SIDECARS_ANSWERED_IN_TURN) * SPREAD_MILLIS_PER_SIDECAR);
    }

    private double spreadMillis() {
        double spreadMillis = Math.min(currency.maxSpreadMillis(), fleetSpreadMillis());
        double pollDeadlineMillis = settings.rules().pollDeadlineMillis();
        return pollDeadlineMillis > 0
                ? Math.min(spreadMillis, pollDeadlineMillis * MAX_SPREAD_DEADLINE_FRACTION)
                : spreadMillis;
    }
}
