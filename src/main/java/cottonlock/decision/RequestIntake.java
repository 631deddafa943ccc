package cottonlock.decision;

import cottonlock.decision.api.DeploymentTopology;
import cottonlock.decision.api.LoadBalancerActions;
import cottonlock.decision.api.RejectionReason;
import cottonlock.decision.api.RequestClass;
import cottonlock.decision.api.RequestClass.Idempotency;
import cottonlock.decision.api.Tenant;
import java.util.Arrays;
import java.util.List;

/** Knows each category and quota; gives the final answer when a request comes back unfinished. */
public final class RequestIntake extends RequestStage {
    /** With a bucket of four, Poisson arrivals at nine tenths of the quota seldom find it empty. */
    private static final double DEPTH = 4;

    private final LoadBalancerActions outlet;
    private List<RequestClass> categories;
    private final boolean first;
    private final long longestComeBack;

    /**
     * Each tenant's quota at this balancer, for each tenth of a millisecond, and what is left of
     * it.
     */
    private final double[] quotas;

    private final TokenBucket[] tokens;

    /** The longest patience seen of each category. */
    private long[] longest;

    /**
     * First: whether requests come from clients; the come-back time is 0 where clients follow none.
     */
    public RequestIntake(
            LoadBalancerActions outlet,
            List<RequestClass> categories,
            List<Tenant> tenants,
            boolean first,
            DeploymentTopology shape,
            long longestComeBack) {
        this.outlet = outlet;
        this.categories = categories;
        this.first = first;
        this.longestComeBack = longestComeBack;
        this.longest = new long[categories.size()];
        this.quotas = new double[tenants.size()];
        this.tokens = new TokenBucket[tenants.size()];
        for (int t = 0; t < quotas.length; t++) {
            quotas[t] =
                    tenants.get(t).quotaPerSecond()
                            / (shape.evenlyLoaded() ? shape.loadBalancerCount() : 1)
                            / 10_000;
            tokens[t] = new TokenBucket(Math.max(DEPTH, quotas[t] * 5_000) / 4);
        }
    }

    void retune(List<RequestClass> others) {
        categories = others;
        longest = Arrays.copyOf(longest, others.size());
    }

    void arrive(
            long now,
            long id,
            int category,
            int tenant,
            long patience,
            boolean repeated,
            long hint,
            long stood) {
        // What came during a standstill has waited as much as its patience lacks of the longest
        // seen.
        longest[category] = Math.max(longest[category], patience);
        long waited = Math.min(stood, longest[category] - patience);
        Request req =
                new Request(
                        id,
                        categories.get(category),
                        tenant,
                        repeated,
                        now - waited,
                        now + patience,
                        hint);
        req.overQuota = first && tenant < tokens.length && !withinQuota(tenant, repeated, now);
        take(req, now);
    }

    @Override
    void take(Request req, long now) {
        if (req.deadlineTicks <= now) {
            req.rejectionReason = RejectionReason.DEADLINE_EXCEEDED;
            back(req, now);
        } else {
            after.take(req, now);
        }
    }

    @Override
    void back(Request req, long now) {
        if (req.completed) {
            return;
        }
        req.completed = true;
        long comeBack = Math.min(longestComeBack, req.requestClass.latencyObjectiveTicks() / 2);
        if (mayDefer(req, now + comeBack)) {
            outlet.reject(req.id, comeBack, req.rejectionReason);
        } else {
            outlet.fail(req.id, req.rejectionReason);
        }
    }

    /**
     * A deferral says that trying again does no harm: of a request that may have run, only if so,
     * and if backends still know it when its client comes back.
     */
    private static boolean mayDefer(Request req, long back) {
        return req.requestClass.idempotency() == Idempotency.IDEMPOTENT
                || req.firstPossiblyExecuted() == null
                || req.requestClass.idempotency() == Idempotency.WITH_KEY
                        && req.requestClass.deduplicationScope()
                                == RequestClass.DeduplicationScope.ALL
                        && back
                                < req.firstPossiblyExecuted().sentAtTicks
                                        + req.requestClass.deduplicationWindowTicks();
    }

    private boolean withinQuota(int tenant, boolean repeated, long now) {
        // Half a second's worth may come at once, for arrivals are uneven, and four at least.
        double depth = Math.max(DEPTH, quotas[tenant] * 5_000);
        // What comes again is mostly excess: it must not use up the quota of what comes first.
        double needed = repeated ? Math.max(1, quotas[tenant] * 2_500) : 1;
        return tokens[tenant].take(now, quotas[tenant], depth, needed);
    }
}
