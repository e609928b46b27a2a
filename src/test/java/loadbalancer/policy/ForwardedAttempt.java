package loadbalancer.policy;

/** An attempt that the policy forwarded; {@code number} is its place among its request's attempts, from 0. */
record ForwardedAttempt(PolicyRequest request, int number, String endpoint, double sentAt) {}
