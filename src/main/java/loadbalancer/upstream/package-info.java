/**
 * Connections to endpoints. It sends each attempt once, over a pooled HTTP/1.1 connection, assembles the response and
 * reports one outcome.
 *
 * <p>The package owns the endpoint connections: idle, in use and quarantined, and how long each endpoint keeps idle
 * ones. It makes no balancing decision and never retries. {@code proxy} sends attempts and passes on endpoint lists;
 * {@code lifecycle} creates the pool. Everything runs on one event loop.
 */
package loadbalancer.upstream;
