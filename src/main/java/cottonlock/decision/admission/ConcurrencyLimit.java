package cottonlock.decision.admission;

import cottonlock.decision.api.DeploymentTopology;
import java.util.SplittableRandom;

/**
 * How many requests may be in flight at once: the usual concurrency, less while latency is higher
 * than in calm times, plus a margin for random variation. Owned by the load balancer's thread.
 */
final class ConcurrencyLimit {
    /**
     * Requests in flight per backend, of all load balancers together, that are always permitted,
     * however high the latency.
     */
    private static final double MIN_CONCURRENCY_PER_BACKEND = 4;

    /** The same for requests over their tenant's quota. */
    private static final double MIN_OVER_QUOTA_CONCURRENCY_PER_BACKEND = 2;

    /** The multiple of the calm latency up to which the limit is not lowered. */
    private static final double LATENCY_TOLERANCE = 1.3;

    /** The same for requests over their tenant's quota. */
    private static final double OVER_QUOTA_LATENCY_TOLERANCE = 0.9;

    /** Standard deviations of a Poisson count that the margin covers. */
    private static final int MARGIN_DEVIATIONS = 2;

    /** The same in calm times, when the limit may grow faster. */
    private static final int CALM_MARGIN_DEVIATIONS = 4;

    private final DeploymentTopology topology;
    private final LatencyStatistics statistics;
    private final SplittableRandom random;
    private int inFlight;

    /** A limit with nothing in flight. */
    ConcurrencyLimit(
            DeploymentTopology topology, LatencyStatistics statistics, SplittableRandom random) {
        this.topology = topology;
        this.statistics = statistics;
        this.random = random;
    }

    /** The requests that count against the limit. */
    int inFlight() {
        return inFlight;
    }

    /** Counts a request against the limit. */
    void acquire() {
        inFlight++;
    }

    /** Stops counting a request against the limit. */
    void release() {
        inFlight--;
    }

    /**
     * Whether one more request may be in flight. A fraction of a request is permitted with that
     * probability.
     *
     * @param overQuota whether the request is over its tenant's quota
     * @param readyBackends the number of backends in use
     */
    boolean permits(boolean overQuota, int readyBackends, long nowTicks) {
        double minimumPerBackend =
                overQuota ? MIN_OVER_QUOTA_CONCURRENCY_PER_BACKEND : MIN_CONCURRENCY_PER_BACKEND;
        double minimum = minimumPerBackend * readyBackends / topology.loadBalancerCount();
        if (overQuota && topology.hasManyLoadBalancers()) {
            // One of many load balancers sees too few responses to tell concurrency caused by
            // requests over quota from concurrency that the backends can sustain.
            return !statistics.isUnderPressure(nowTicks)
                    && inFlight + random.nextDouble() < minimum;
        }
        double limit = Math.max(minimum, latencyBasedLimit(overQuota, nowTicks));
        return inFlight + random.nextDouble() < limit;
    }

    private double latencyBasedLimit(boolean overQuota, long nowTicks) {
        double tolerance = overQuota ? OVER_QUOTA_LATENCY_TOLERANCE : LATENCY_TOLERANCE;
        double reduction = Math.min(1, tolerance * statistics.calmRatio(nowTicks));
        double steadyConcurrency = statistics.meanConcurrency(nowTicks) * reduction;
        int deviations = statistics.isCalm(nowTicks) ? CALM_MARGIN_DEVIATIONS : MARGIN_DEVIATIONS;
        return steadyConcurrency + deviations * Math.sqrt(steadyConcurrency);
    }
}
