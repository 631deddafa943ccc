package cottonlock.decision.admission;

import cottonlock.core.Ticks;
import cottonlock.decision.api.Tenant;
import cottonlock.decision.request.Request;
import cottonlock.decision.stats.SlidingWindowMean;
import java.util.List;

/**
 * The total work that all tenants' quotas permit, from the mean estimated work of recent requests.
 * Owned by the load balancer's thread.
 */
final class QuotaWorkload {
    private static final long SPAN_TICKS = 30 * Ticks.PER_SECOND;

    private final double quotasPerTick;
    private final SlidingWindowMean estimatedWorkTicks = new SlidingWindowMean(SPAN_TICKS);

    QuotaWorkload(List<Tenant> tenants) {
        quotasPerTick =
                tenants.stream().mapToDouble(Tenant::quotaPerSecond).sum() / Ticks.PER_SECOND;
    }

    /** Records a request's estimated work, if there is an estimate. */
    void onRequest(Request request, long nowTicks) {
        if (request.estimatedWorkTicks() > 0) {
            estimatedWorkTicks.add(nowTicks, 0, request.estimatedWorkTicks());
        }
    }

    /**
     * The number of cores that the quotas keep busy at each of this many backends; 0 if unknown.
     */
    double coresPerBackend(int backends, long nowTicks) {
        return quotasPerTick / Math.max(1, backends) * estimatedWorkTicks.mean(nowTicks, 0, 0, 0);
    }
}
