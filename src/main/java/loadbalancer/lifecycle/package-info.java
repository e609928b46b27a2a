/**
 * The sidecar as a process: startup, warm-up, configuration reload on SIGHUP, graceful shutdown on SIGTERM, and the
 * training run that fills the class archive. Owns the running components and their event loop. Called by the command
 * line; calls every other package except {@code simulator}.
 */
package loadbalancer.lifecycle;
