package loadbalancer.policy;

/**
 * What a deployment allows its policy to do.
 *
 * @param maxAttempts attempts for a request, the first one included
 * @param hedging true if two attempts of a request may be in flight at once
 * @param cancellation true if attempts in flight may be cancelled
 * @param probes true if endpoints may be probed for their load
 * @param broadcast true if sidecars may exchange messages
 * @param retryAfter true if a rejection may carry a Retry-After
 * @param maxRetryAfterMillis longest Retry-After in milliseconds
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
