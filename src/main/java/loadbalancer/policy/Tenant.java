package loadbalancer.policy;

/**
 * A tenant and its quota.
 *
 * @param quotaShare its share of a sidecar's requests, from 0 to 1
 * @param quotaPerSecond requests a second that are within its quota, over all sidecars
 */
public record Tenant(String name, double quotaShare, double quotaPerSecond) {}
