/**
 * Every balancing decision of a sidecar, as a pure function of settings, a seed and the events so far.
 *
 * <p>The embedder ({@code proxy}, or {@code simulator} for simulated time) calls {@link
 * loadbalancer.policy.BalancingPolicy} with each event and carries out the policy's actions, given through {@link
 * loadbalancer.policy.PolicyActions}, all on one thread. The package reads no clock, starts no thread, does no I/O, and
 * depends on no other package.
 *
 * <p>{@link loadbalancer.policy.LossThrottlingPolicy} dispatches the events and runs the control period. The state is
 * owned by one class for each matter: the known endpoints by {@code EndpointTable}, with an {@code EndpointState} each
 * that refers to an object for its drop percentage, its run of failures, its attempts in flight, its traffic, its load
 * reports, its error rates and its slow start tokens; the subset by {@code SubsetSelector}; the latencies by {@code
 * LatencyBaseline}; the priorities by {@code PriorityMix}; a request and its attempts by {@code RequestState}. {@code
 * EndpointPicker} picks an endpoint from all of these. They share one random generator; the order of its draws, and of
 * sums of floating-point numbers, is part of the behaviour.
 */
package loadbalancer.policy;
