package cottonlock.decision.admission;

import cottonlock.core.Ticks;
import cottonlock.decision.api.DeploymentTopology;
import cottonlock.decision.api.Tenant;
import java.util.List;

/**
 * The request quotas of all tenants at this load balancer, with a token bucket for each tenant.
 * Where the load balancers carry similar load, each grants an equal part of a quota; otherwise each
 * grants the whole quota.
 */
public final class TenantQuota {
    /** The smallest burst: Poisson arrivals at nine tenths of a quota rarely exceed it. */
    private static final double MIN_BURST_REQUESTS = 4;

    /** The burst that a quota allows, as a time at the quota's rate: half a second. */
    private static final long BURST_TICKS = Ticks.PER_SECOND / 2;

    /**
     * What a client's retry must leave in the bucket, as a time at the quota's rate: retries are
     * mostly requests over quota and must not use up the quota of first requests.
     */
    private static final long RETRY_RESERVE_TICKS = Ticks.PER_SECOND / 4;

    /** A bucket starts with its full burst divided by this number. */
    private static final int INITIAL_FILL_DIVISOR = 4;

    /** Each tenant's quota at this load balancer, in requests per tick. */
    private final double[] requestsPerTick;

    private final TokenBucket[] buckets;

    /** The quotas of these tenants; each bucket starts filled to a quarter. */
    public TenantQuota(List<Tenant> tenants, DeploymentTopology topology) {
        requestsPerTick = new double[tenants.size()];
        buckets = new TokenBucket[tenants.size()];
        int grantingLoadBalancers = topology.evenlyLoaded() ? topology.loadBalancerCount() : 1;
        for (int tenant = 0; tenant < requestsPerTick.length; tenant++) {
            requestsPerTick[tenant] =
                    tenants.get(tenant).quotaPerSecond() / grantingLoadBalancers / Ticks.PER_SECOND;
            buckets[tenant] = new TokenBucket(burst(tenant) / INITIAL_FILL_DIVISOR);
        }
    }

    /** Takes a request out of its tenant's quota; false if the quota is used up. */
    public boolean tryTake(int tenant, boolean clientRetry, long nowTicks) {
        if (tenant >= buckets.length) {
            return true;
        }
        double minimumTokens =
                clientRetry ? Math.max(1, requestsPerTick[tenant] * RETRY_RESERVE_TICKS) : 1;
        return buckets[tenant].tryTake(
                nowTicks, requestsPerTick[tenant], burst(tenant), minimumTokens);
    }

    private double burst(int tenant) {
        return Math.max(MIN_BURST_REQUESTS, requestsPerTick[tenant] * BURST_TICKS);
    }
}
