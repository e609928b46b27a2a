package loadbalancer.policy;

import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The recent mix of requests by priority level, and how a drop percentage is split over it: the lowest level bears it
 * alone until all of it is dropped, then the next (C4-140439, "Message priority related consideration").
 *
 * <p>Each priority weight, within and over the tenant's quota, is a level; levels are numbered from the lowest.
 */
final class PriorityMix {
    /** Part of the mix that is kept from period to period. */
    private static final double RETAINED_PER_PERIOD = 0.98;

    private final List<Tenant> tenants;
    private final SplittableRandom random;
    /** The level of each class, within and over its tenant's quota. */
    private final int[] levelWithinQuota;

    private final int[] levelOverQuota;
    /** Recent requests of each level. */
    private final double[] requests;
    /** The part of the requests that is of lower levels, by level; 1 above the highest. */
    private final double[] lowerFraction;
    /** Recent requests with a tenant, of each and of all. */
    private final double[] tenantRequests;

    private double allTenantRequests;
    private double lastTotal;

    PriorityMix(PolicySettings settings, SplittableRandom random) {
        this.tenants = settings.tenants();
        this.random = random;
        int classCount = settings.classes().size();
        double[] weights = new double[2 * classCount];
        for (int i = 0; i < classCount; i++) {
            double weight = settings.classes().get(i).priorityWeight();
            weights[i] = weight;
            weights[classCount + i] = weight * settings.overQuotaWeight();
        }
        double[] levels = Arrays.stream(weights).sorted().distinct().toArray();
        levelWithinQuota = new int[classCount];
        levelOverQuota = new int[classCount];
        for (int i = 0; i < classCount; i++) {
            levelWithinQuota[i] = Arrays.binarySearch(levels, weights[i]);
            levelOverQuota[i] = Arrays.binarySearch(levels, weights[classCount + i]);
        }
        requests = new double[levels.length];
        lowerFraction = new double[levels.length + 1];
        tenantRequests = new double[tenants.size()];
    }

    /** Counts a request that has arrived, and returns its priority level. */
    int record(PolicyRequest request) {
        int level = levelOf(request);
        requests[level]++;
        return level;
    }

    /** Which of a tenant's requests are those over its quota is drawn, so that the excess alone has the lower level. */
    private int levelOf(PolicyRequest request) {
        int classIndex = request.classIndex();
        int tenant = request.tenantIndex();
        if (tenant < 0) {
            return levelWithinQuota[classIndex];
        }
        allTenantRequests++;
        tenantRequests[tenant]++;
        double fraction = tenantRequests[tenant] / allTenantRequests;
        double quota = tenants.get(tenant).quotaShare();
        boolean overQuota = fraction > quota && random.nextDouble() * fraction > quota;
        return overQuota ? levelOverQuota[classIndex] : levelWithinQuota[classIndex];
    }

    /** The fraction of the requests of a level to drop, if this fraction of all requests is to be dropped. */
    double dropFraction(int level, double fractionOfAll) {
        if (fractionOfAll <= 0) {
            return 0;
        }
        double lower = lowerFraction[level];
        double own = lowerFraction[level + 1] - lower;
        if (own <= 0) {
            return fractionOfAll > lower ? 1 : 0;
        }
        return (fractionOfAll - lower) / own;
    }

    void endPeriod() {
        double total = 0;
        for (double count : requests) {
            total += count;
        }
        double lower = 0;
        for (int i = 0; i < requests.length; i++) {
            lowerFraction[i] = total > 0 ? lower / total : 0;
            lower += requests[i];
            requests[i] *= RETAINED_PER_PERIOD;
        }
        lowerFraction[requests.length] = 1;
        allTenantRequests *= RETAINED_PER_PERIOD;
        for (int i = 0; i < tenantRequests.length; i++) {
            tenantRequests[i] *= RETAINED_PER_PERIOD;
        }
        lastTotal = total;
    }

    /** Mean number of requests that arrived in a period, after so many periods since the start. */
    double requestsPerPeriod(double periods) {
        return lastTotal * (1 - RETAINED_PER_PERIOD) / (1 - Math.pow(RETAINED_PER_PERIOD, periods));
    }
}
