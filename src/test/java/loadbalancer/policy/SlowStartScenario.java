package loadbalancer.policy;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/**
 * A fleet of which some endpoints start anew.
 *
 * @param ratePerSecond requests a second that one endpoint can serve when warm
 * @param load offered load as a share of the capacity of all endpoints when warm
 * @param starting endpoints that start during the run
 */
record SlowStartScenario(
        String name,
        int sidecars,
        int endpoints,
        double ratePerSecond,
        double load,
        int starting,
        Set<Disturbance> disturbances,
        OperatorRules rules) {
    private static final OperatorRules DEFAULT_RULES = new OperatorRules(1000, 4, 2000, 0.2, 20_000, 10_000);
    private static final double DRAIN_GRACE_MILLIS = 1000;
    private static final double POLL_DEADLINE_MILLIS = 10_000;

    private static final RequestClass IDEMPOTENT =
            new RequestClass("k", 1, 0, 800, 2000, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 5000, false);
    private static final RequestClass KEYED_IN_ZONE =
            new RequestClass("k", 1, 0, 800, 2000, Idempotency.WITH_KEY, DeduplicationScope.ZONE, 5000, false);

    /** What comes with the starts. */
    enum Disturbance {
        /** A sixth of the sidecars has four times the mean load. */
        UNEVEN,
        /** 2.5 times the load for three seconds in each seven. */
        BURSTS,
        /** 8 times the load for one second in each nine. */
        SHARP_BURSTS,
        /** No request from eight seconds before the start to a quarter of the slow start after it. */
        IDLE,
        /** The starting endpoints are new ones; else known ones come back. */
        JOINING,
        /** Most clients that are rejected come again. */
        CLIENT_RETRIES,
        /** One start after another. */
        ROLLING,
        /**
         * For one second in five every warm endpoint resets what it gets; the requests carry an idempotency key, with
         * the zone as its scope.
         */
        RESETS
    }

    static SlowStartScenario of(
            String name,
            int sidecars,
            int endpoints,
            double ratePerSecond,
            double load,
            int starting,
            Disturbance... disturbances) {
        Set<Disturbance> all = EnumSet.noneOf(Disturbance.class);
        all.addAll(List.of(disturbances));
        return new SlowStartScenario(name, sidecars, endpoints, ratePerSecond, load, starting, all, DEFAULT_RULES);
    }

    SlowStartScenario under(
            double overloadMultiple,
            double overloadWindowMillis,
            double slowStartInitialFraction,
            double slowStartMillis) {
        OperatorRules other = new OperatorRules(
                DRAIN_GRACE_MILLIS,
                overloadMultiple,
                overloadWindowMillis,
                slowStartInitialFraction,
                slowStartMillis,
                POLL_DEADLINE_MILLIS);
        return new SlowStartScenario(name, sidecars, endpoints, ratePerSecond, load, starting, disturbances, other);
    }

    boolean has(Disturbance disturbance) {
        return disturbances.contains(disturbance);
    }

    /** The settings of every sidecar. */
    PolicySettings settings() {
        return SettingsBuilder.forClasses(has(Disturbance.RESETS) ? KEYED_IN_ZONE : IDEMPOTENT)
                .rules(rules)
                .endpointListPushed()
                .sidecars(sidecars)
                .build();
    }

    /** Factor on the load in a burst. */
    double burstFactor() {
        return has(Disturbance.SHARP_BURSTS) ? 8 : has(Disturbance.BURSTS) ? 2.5 : 1;
    }

    double burstEveryMillis() {
        return has(Disturbance.SHARP_BURSTS) ? 9000 : 7000;
    }

    double burstMillis() {
        return has(Disturbance.SHARP_BURSTS) ? 1000 : 3000;
    }

    /** The fraction of its full capacity that an endpoint of this age has. */
    double capacityFraction(double ageMillis) {
        return Math.min(
                1,
                rules.slowStartInitialFraction()
                        + (1 - rules.slowStartInitialFraction()) * ageMillis / rules.slowStartMillis());
    }

    /** Requests that an endpoint executes at once. */
    int slots() {
        return (int) Math.max(1, ratePerSecond / 10);
    }

    /** Requests that an endpoint accepts, those that wait included. */
    int maxAccepted() {
        return 4 * slots() + 4;
    }

    @Override
    public String toString() {
        return name;
    }
}
