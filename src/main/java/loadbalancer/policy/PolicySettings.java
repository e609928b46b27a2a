package loadbalancer.policy;

import java.util.List;

/**
 * Everything that a policy knows at its start.
 *
 * @param classes the classes of requests, at least one
 * @param tenants the tenants, or none
 * @param overQuotaWeight factor, from 0 to 1, on the priority weight of traffic over its tenant's quota
 * @param limits what the deployment allows
 * @param rules figures of the operators' rules
 * @param reporting how load reports arrive
 * @param endpointListPolled true if the policy has to open the watch on the endpoint list, false if lists are pushed
 * @param sidecarCount sidecars in the fleet
 * @param ordinal number of this sidecar, from 0
 */
public record PolicySettings(
        List<RequestClass> classes,
        List<Tenant> tenants,
        double overQuotaWeight,
        PolicyLimits limits,
        OperatorRules rules,
        LoadReporting reporting,
        boolean endpointListPolled,
        int sidecarCount,
        int ordinal) {
    /** Settings that do not change with the lists that they were made from. */
    public PolicySettings {
        classes = List.copyOf(classes);
        tenants = List.copyOf(tenants);
    }
}
