package loadbalancer.policy;

import java.util.SplittableRandom;

/**
 * Calls to a service that many sidecars share. When it starts or returns it must not be met by all of them at once: it
 * would reject most, and they would keep it overloaded. So calls are spread by the number of sidecars, with exponential
 * backoff, and wider after each rejection.
 */
final class LargeFleetPacing extends SharedServicePacing {
    /** Backoff after the first failure; doubled with each further one. */
    private static final double MIN_BACKOFF_MILLIS = 300;

    private static final double MAX_BACKOFF_MILLIS = 1000;
    private static final double BACKOFF_GROWTH = 2;

    /** Longest spread after a move, whose list is due within 4 s. */
    private static final double MAX_MOVE_SPREAD_MILLIS = 1000;

    /** A failed call is repeated after 0.5 to 1.5 times the backoff, drawn anew each time. */
    private static final double MIN_BACKOFF_FACTOR = 0.5;

    private static final double MAX_BACKOFF_FACTOR = 1.5;

    /** The shortest of the times over which calls are spread after a rejection; doubled with each further one. */
    private static final double MIN_REJECTED_SPREAD_MILLIS = 600;

    private static final double REJECTED_SPREAD_FRACTION = 0.5;

    /** The shortest of the times over which calls are spread after a failure, as a fraction of the first spread. */
    private static final double MIN_FAILED_SPREAD_FRACTION = 0.35;

    private final ListCurrency currency;
    private final FleetSpread spread;
    private final SplittableRandom random;
    /** Doubled by each failure; shortest again after an answer, a silence or a move. */
    private double backoffMillis = MIN_BACKOFF_MILLIS;
    /** In a row; none again after an answer, a silence or a move. */
    private int rejections;
    /** When the last call was asked for, unless it was answered. */
    private double unansweredSinceMillis = Double.POSITIVE_INFINITY;

    LargeFleetPacing(ListCurrency currency, int sidecars, FleetSpread spread, SplittableRandom random) {
        super(currency, sidecars);
        this.currency = currency;
        this.spread = spread;
        this.random = random;
    }

    @Override
    public double afterStart(double nowMillis) {
        return within(nowMillis, spread.millis());
    }

    @Override
    public double afterMove(double nowMillis) {
        startOver();
        return within(nowMillis, Math.min(MAX_MOVE_SPREAD_MILLIS, spread.millis()));
    }

    /** At once, and what changed meanwhile is due soon: the idle timeouts of the sidecars are randomized already. */
    @Override
    public double afterSilence(double nowMillis) {
        startOver();
        return nowMillis;
    }

    /** Backoff and spread are fitted into what is left until the next call is due. */
    @Override
    public double afterEnd(double nowMillis) {
        double longestMillis = backoffMillis * MAX_BACKOFF_FACTOR + spread.millis();
        double intervalMillis = Math.max(minPauseAfterEndMillis(), currency.maxPauseAfterFailureMillis(nowMillis));
        double leftMillis = intervalMillis - Math.max(0, nowMillis - unansweredSinceMillis);
        double scale = Math.min(1, Math.max(MIN_BACKOFF_MILLIS, leftMillis) / longestMillis);
        double fromMillis = nowMillis + scale * backoffMillis * (MIN_BACKOFF_FACTOR + random.nextDouble());
        double nextMillis = within(fromMillis, scale * spread.millis());
        double maxBackoffMillis = Math.min(MAX_BACKOFF_MILLIS, currency.callIntervalMillis());
        backoffMillis = Math.min(maxBackoffMillis, backoffMillis * BACKOFF_GROWTH);
        return nextMillis;
    }

    // Where a watch fell silent the term runs on whatever the calls meet; else a service may return to a whole fleet.
    private double minPauseAfterEndMillis() {
        return currency.reliable()
                ? Math.max(MIN_BACKOFF_MILLIS, spread.millis() * MIN_FAILED_SPREAD_FRACTION)
                : MIN_BACKOFF_MILLIS;
    }

    /** Calls that come as fast as before would be rejected as well, and the time spent on them is lost for all. */
    @Override
    public double afterRejection(double nowMillis) {
        double wantedMillis = spread.millis() * REJECTED_SPREAD_FRACTION * Math.pow(2, rejections);
        double maxMillis = currency.maxPauseAfterRejectionMillis(nowMillis) - MIN_BACKOFF_MILLIS;
        double spreadMillis = Math.min(Math.max(MIN_REJECTED_SPREAD_MILLIS, wantedMillis), maxMillis);
        rejections++;
        return within(nowMillis + MIN_BACKOFF_MILLIS * MIN_BACKOFF_FACTOR, Math.max(0, spreadMillis));
    }

    @Override
    public void callRequested(double nowMillis) {
        unansweredSinceMillis = nowMillis;
    }

    @Override
    public void callAnswered() {
        super.callAnswered();
        startOver();
        unansweredSinceMillis = Double.POSITIVE_INFINITY;
    }

    private void startOver() {
        backoffMillis = MIN_BACKOFF_MILLIS;
        rejections = 0;
    }

    private double within(double fromMillis, double spreadMillis) {
        return fromMillis + spreadMillis * random.nextDouble();
    }
}
