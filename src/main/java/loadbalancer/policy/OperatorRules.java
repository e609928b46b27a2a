package loadbalancer.policy;

/**
 * The figures of the operators' rules on draining, slow start and polling; times are in milliseconds.
 *
 * @param drainGraceMillis for how long after a notification requests may still go to a draining endpoint
 * @param overloadMultiple multiple of its current capacity at which an endpoint in slow start becomes overloaded
 * @param overloadWindowMillis window over which that is counted
 * @param slowStartInitialFraction fraction of its full capacity that an endpoint has when it starts
 * @param slowStartMillis time after its start by which an endpoint has its full capacity
 * @param pollDeadlineMillis time after the last poll from which a sidecar counts as notified of every change
 */
public record OperatorRules(
        double drainGraceMillis,
        double overloadMultiple,
        double overloadWindowMillis,
        double slowStartInitialFraction,
        double slowStartMillis,
        double pollDeadlineMillis) {}
