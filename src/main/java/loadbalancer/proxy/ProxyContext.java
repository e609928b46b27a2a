package loadbalancer.proxy;

import loadbalancer.eventloop.Clock;
import loadbalancer.policy.BalancingPolicy;
import loadbalancer.policy.PolicySettings;
import loadbalancer.upstream.EndpointPool;

/**
 * What all requests of a dispatcher and their attempts share.
 *
 * @param policy is notified through {@code events} only
 */
record ProxyContext(
        Clock clock,
        PolicySettings settings,
        EndpointPool pool,
        LoopTimers timers,
        PolicyEventQueue events,
        BalancingPolicy policy,
        PendingRequests pendingRequests,
        RecentRequestIds recentIds,
        ForwardingGuard guard) {}
