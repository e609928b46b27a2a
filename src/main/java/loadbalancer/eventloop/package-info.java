/**
 * The event loop and its time: loops that sleep between timers, the clock, and a measure of how late a loop runs. Owns
 * the counters of a loop's activity and its recent lateness. Called by {@code lifecycle}, which makes the loop, and by
 * {@code downstream}, {@code proxy}, {@code upstream} and {@code discovery}, which read the clock. It calls no other
 * package.
 */
package loadbalancer.eventloop;
