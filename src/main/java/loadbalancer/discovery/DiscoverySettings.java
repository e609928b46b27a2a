package loadbalancer.discovery;

import java.net.InetSocketAddress;
import loadbalancer.memory.MemoryBudget;
import loadbalancer.policy.DiscoveryCallSchedule;
import loadbalancer.policy.PolicySettings;

/**
 * The settings of a {@link DiscoveryClient}.
 *
 * @param address the discovery service, or the local agent that pushes its lists
 * @param policySettings says whether lists are pushed, and how long a draining endpoint may still be used
 * @param seed seed of the random idle timeouts and backoff delays
 * @param lastKnownList the list of which to receive changes, or null if there is none
 * @param schedule says when calls begin, and is told what becomes of them
 * @param memory what lists that are not complete draw from, together with all others
 */
public record DiscoverySettings(
        InetSocketAddress address,
        PolicySettings policySettings,
        long seed,
        EndpointList lastKnownList,
        DiscoveryCallSchedule schedule,
        MemoryBudget memory) {}
