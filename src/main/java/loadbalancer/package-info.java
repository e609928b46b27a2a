/**
 * The command line of the load-balancing sidecar.
 *
 * <p>{@link loadbalancer.Main} picks one of the programs (serve, check, train-class-archive, simulator-adapter), turns
 * typed errors into one line on standard error, and is the only class that ends the process. It owns no state and is
 * called by the JVM alone. {@code docs/architecture.md} describes the packages below.
 */
package loadbalancer;
