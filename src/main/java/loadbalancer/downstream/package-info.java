/**
 * Connections from the application. This package listens for them, bounds how many there are and for how long, reads
 * and validates their requests, writes the responses, answers the readiness check and shuts down gracefully.
 *
 * <p>It owns the open client connections and the state of a shutdown; the requests themselves belong to {@code proxy},
 * which each valid request is handed to. {@code lifecycle} creates the {@link loadbalancer.downstream.ClientServer},
 * marks it ready and shuts it down. Everything here runs on the one event loop.
 */
package loadbalancer.downstream;
