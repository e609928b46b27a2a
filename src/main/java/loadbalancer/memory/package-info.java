/**
 * Accounts for the memory that clients, endpoints and discovery can make the process hold.
 *
 * <p>{@link loadbalancer.memory.MemoryBudget} owns the sums; whoever is about to keep something of a peer's takes its
 * size from the budget first, by a {@link loadbalancer.memory.MemoryHolding}, and gives it back when it lets go. The
 * package only counts: it does no I/O, keeps no bytes and calls no other package. It is used on the event loop alone.
 */
package loadbalancer.memory;
