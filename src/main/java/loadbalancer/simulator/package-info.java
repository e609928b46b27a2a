/**
 * The adapter to the simulator: it reads batches of events from standard input, passes each to the same balancing
 * policy that the sidecar uses, and writes the policy's actions as replies. It decides nothing.
 *
 * <p>The package owns the simulated sidecars with their open requests, and the numbered endpoint lists that they share
 * on the wire. Only the command line calls it. It handles hundreds of thousands of events in a run: no object is made
 * for a field that does not need one.
 */
package loadbalancer.simulator;
