package cottonlock.decision.backend;

import cottonlock.decision.api.DeploymentTopology;
import cottonlock.decision.api.SlowStartConfig;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Limits the requests that this load balancer sends to backends that warm up after a start, so that
 * all load balancers together do not overload them. Owned by the load balancer's thread.
 */
final class SlowStart {
    /**
     * The fraction of the requests that overload a warming backend which all load balancers
     * together may send it.
     */
    private static final double OVERLOAD_FRACTION = 0.5;

    private final SlowStartConfig config;
    private final DeploymentTopology topology;
    private final SplittableRandom random;

    /**
     * The number of this load balancer's attempts that a warm backend of weight 1 completes in the
     * overload window. As attempts of other load balancers are not included, limits derived from it
     * need no division by the number of load balancers.
     */
    private double completionsPerWeight;

    SlowStart(SlowStartConfig config, DeploymentTopology topology, SplittableRandom random) {
        this.config = config;
        this.topology = topology;
        this.random = random;
    }

    /** The fraction of its full capacity that a backend has now, above 0 and up to 1. */
    double warmUpFraction(Backend backend, long nowTicks) {
        return config.warmUpFraction(backend.endpoint, nowTicks);
    }

    /**
     * Whether a backend may be sent a request now: always if it is warm; at randomly spaced times
     * while it warms up.
     */
    boolean admits(Backend backend, long nowTicks) {
        double warmUpFraction = warmUpFraction(backend, nowTicks);
        if (warmUpFraction >= 1) {
            return true;
        }
        if (backend.spacedForStartTicks != backend.endpoint.startedAtTicks()) {
            backend.spacedForStartTicks = backend.endpoint.startedAtTicks();
            backend.lastSentAtTicks = nowTicks;
            backend.spacingFactor = random.nextDouble();
        }
        double ownRequestsPerWindow =
                config.overloadMultiple()
                        * OVERLOAD_FRACTION
                        * warmUpFraction
                        * completionsPerWeight
                        * backend.capacityWeight();
        // Until completions are known, all load balancers together may send one request per window.
        double minRequestsPerWindow = 1.0 / topology.loadBalancerCount();
        return (nowTicks - backend.lastSentAtTicks)
                        * Math.max(ownRequestsPerWindow, minRequestsPerWindow)
                >= config.overloadWindowTicks() * backend.spacingFactor;
    }

    /** A request was sent: draws the interval until the next one, 0.5 to 1.5 times the mean. */
    void onSent(Backend backend, long nowTicks) {
        backend.lastSentAtTicks = nowTicks;
        backend.spacingFactor = 0.5 + random.nextDouble();
    }

    /** Updates the completion rate from the backends that are warm and not outliers. */
    void updateCompletionRate(List<Backend> ready, long nowTicks) {
        double totalWeight = 0;
        long completions = 0;
        for (Backend backend : ready) {
            if (warmUpFraction(backend, nowTicks) >= 1 && !OutlierDetector.isOutlier(backend)) {
                totalWeight += backend.capacityWeight();
                completions += backend.completions.sum(nowTicks);
            }
        }
        if (totalWeight > 0) {
            completionsPerWeight = completions / totalWeight;
        }
    }
}
