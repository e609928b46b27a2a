package loadbalancer.policy;

/**
 * What an endpoint reports of its load; a value that it does not report is NaN.
 *
 * @param inFlight requests that it is executing
 * @param queued requests that wait at it
 * @param utilization busy share of its capacity, 1 if it is fully busy
 * @param latencyMillis its recent response time
 * @param requestsPerSecond requests that it recently completed a second
 * @param errorsPerSecond errors that it recently returned a second
 */
public record LoadReport(
        double inFlight,
        double queued,
        double utilization,
        double latencyMillis,
        double requestsPerSecond,
        double errorsPerSecond) {}
