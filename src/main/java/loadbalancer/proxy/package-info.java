/**
 * Carries each request from its admission to its one final response.
 *
 * <p>{@link loadbalancer.proxy.RequestDispatcher} admits requests from {@code downstream}, notifies the policy of all
 * that happens, one event after another, and carries out the policy's actions on {@code upstream}. The package owns the
 * pending requests, their attempts and their timers. {@code downstream} admits requests and reports disconnects,
 * {@code discovery} reports endpoint lists, and {@code lifecycle} starts it. Everything runs on the one event loop.
 */
package loadbalancer.proxy;
