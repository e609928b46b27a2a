/**
 * The command line: chooses a command, prints errors and sets the exit code. Owns no state; calls {@code lifecycle} and
 * {@code simulator}.
 */
package loadbalancer;
