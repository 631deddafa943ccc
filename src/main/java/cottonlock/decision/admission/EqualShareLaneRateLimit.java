package cottonlock.decision.admission;

import cottonlock.decision.request.Request;

/** For load balancers that carry similar load: each may use an equal part of a lane's rate. */
final class EqualShareLaneRateLimit extends LaneRateLimit {
    private static final double BURST_REQUESTS = 4;

    /** The tokens that must be present for a request over its tenant's quota. */
    private static final double OVER_QUOTA_MINIMUM_TOKENS = 3;

    private final int loadBalancers;
    private final TokenBucket bucket = new TokenBucket(BURST_REQUESTS);

    /** A limit for one of this many load balancers. */
    EqualShareLaneRateLimit(int loadBalancers) {
        this.loadBalancers = loadBalancers;
    }

    @Override
    boolean permits(Request request, double usableBackends, long nowTicks) {
        double attemptTicks = updateAttemptTicks(expectedAttemptTicks(request), nowTicks);
        double laneRequestsPerTick =
                laneRequestsPerTick(MAX_CONCURRENCY_PER_BACKEND, usableBackends, attemptTicks);
        double minimumTokens = request.isOverQuota() ? OVER_QUOTA_MINIMUM_TOKENS : 1;
        return bucket.tryTake(
                nowTicks, laneRequestsPerTick / loadBalancers, BURST_REQUESTS, minimumTokens);
    }

    @Override
    double maxSampleTicks(long objectiveTicks) {
        return objectiveTicks;
    }
}
