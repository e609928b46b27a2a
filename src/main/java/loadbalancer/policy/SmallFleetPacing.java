package loadbalancer.policy;

import java.util.SplittableRandom;

/**
 * Calls to a service that few sidecars share: it answers the calls of all of them in turn, without one that is
 * rejected, so that each may call again soon after the end of its last call, whatever that one brought.
 */
final class SmallFleetPacing extends SharedServicePacing {
    private static final double MIN_PAUSE_MILLIS = 100;
    private static final double PAUSE_RANGE_MILLIS = 100;
    private static final double MIN_REJECTED_PAUSE_MILLIS = 150;
    private static final double REJECTED_PAUSE_RANGE_MILLIS = 400;

    private final FleetSpread spread;
    private final SplittableRandom random;

    SmallFleetPacing(ListCurrency currency, int sidecars, FleetSpread spread, SplittableRandom random) {
        super(currency, sidecars);
        this.spread = spread;
        this.random = random;
    }

    @Override
    public double afterStart(double nowMillis) {
        return nowMillis + spread.millis() * random.nextDouble();
    }

    @Override
    public double afterMove(double nowMillis) {
        return nowMillis + spread.millis() * random.nextDouble();
    }

    @Override
    public double afterSilence(double nowMillis) {
        return nowMillis;
    }

    @Override
    public double afterEnd(double nowMillis) {
        return nowMillis + MIN_PAUSE_MILLIS + (PAUSE_RANGE_MILLIS + spread.millis()) * random.nextDouble();
    }

    @Override
    public double afterRejection(double nowMillis) {
        return nowMillis + MIN_REJECTED_PAUSE_MILLIS + REJECTED_PAUSE_RANGE_MILLIS * random.nextDouble();
    }

    @Override
    public void rejectedAfter(double waitMillis) {
        // The calls of so few don't crowd a service: a late rejection shows something else.
    }

    @Override
    public void callRequested(double nowMillis) {
        // No pause depends on it.
    }
}
