package loadbalancer.policy;

/**
 * What the deployment lets the policy do.
 *
 * @param maxAttempts attempts for a request, the first one included
 * @param hedging true if two attempts of a request may be in flight at once
 * @param cancellation true if attempts in flight may be cancelled
 * @param probes true if endpoints may be probed for their load
 * @param broadcast true if sidecars may exchange messages
 * @param retryAfter true if a rejected client may be told when to come back
 * @param maxRetryAfterMillis the longest time that it may be told
 * @param probeCost price of one probe a request
 */
public record PolicyLimits(
        int maxAttempts,
        boolean hedging,
        boolean cancellation,
        boolean probes,
        boolean broadcast,
        boolean retryAfter,
        double maxRetryAfterMillis,
        double probeCost) {}
