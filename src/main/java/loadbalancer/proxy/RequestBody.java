package loadbalancer.proxy;

import loadbalancer.memory.MemoryHolding;

/**
 * The complete body of a request, which nobody changes any more, and the memory that the request takes with it.
 *
 * @param bytes not copied
 * @param memory released once the request is no longer pending
 */
public record RequestBody(byte[] bytes, MemoryHolding memory) {}
