package loadbalancer.policy;

/** The time over which the calls of a whole fleet to a shared discovery service are spread. */
final class FleetSpread {
    /** The calls of so many sidecars may wait for their turn together without one that is rejected. */
    static final int SIDECARS_ANSWERED_IN_TURN = 8;

    /** For each sidecar of a larger fleet. */
    static final double MILLIS_PER_SIDECAR = 200;

    private static final double SMALL_FLEET_MILLIS_PER_SIDECAR = 10;

    /** At most, as a fraction of the poll deadline. */
    private static final double MAX_DEADLINE_FRACTION = 0.4;

    private final PolicySettings settings;
    private final ListCurrency currency;

    FleetSpread(PolicySettings settings, ListCurrency currency) {
        this.settings = settings;
        this.currency = currency;
    }

    /** Returns the time in milliseconds. */
    double millis() {
        double spreadMillis = Math.min(currency.maxSpreadMillis(), byFleetMillis());
        double pollDeadlineMillis = settings.rules().pollDeadlineMillis();
        return pollDeadlineMillis > 0
                ? Math.min(spreadMillis, pollDeadlineMillis * MAX_DEADLINE_FRACTION)
                : spreadMillis;
    }

    private double byFleetMillis() {
        int sidecars = settings.sidecarCount();
        return Math.max(
                sidecars * SMALL_FLEET_MILLIS_PER_SIDECAR, (sidecars - SIDECARS_ANSWERED_IN_TURN) * MILLIS_PER_SIDECAR);
    }
}
