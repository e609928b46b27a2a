/**
 * What both sides of the protocol share: header names, limits and the form of decimal numbers.
 *
 * <p>The package owns no state; every other package but {@code policy} may use it.
 */
package loadbalancer.protocol;
