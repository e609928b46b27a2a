/**
 * The client of the discovery service: a watch that delivers endpoint lists to its listener on the event loop.
 *
 * <p>The package owns the watch with its idle timeout and its backoff, the version of the last endpoint list, and the
 * offsets of the wall clock by which start times are converted. {@code lifecycle} creates the client and migrates it;
 * {@code proxy} listens to it and converts start times; {@code configuration} parses the last known list and addresses.
 */
package loadbalancer.discovery;
