package cottonlock.decision.backend;

import cottonlock.decision.api.DeploymentTopology;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The load of lanes: whether a lane is overloaded compared with the others, and how much capacity a
 * lane has. Owned by the load balancer's thread.
 */
public final class LaneLoad {
    /**
     * With at least this many backends per load balancer, its own attempts in flight show the load,
     * and no lane counts as crowded.
     */
    private static final double MAX_BACKENDS_PER_LOAD_BALANCER = 2;

    /**
     * Attempts in flight per backend up to which no lane counts as crowded, where the load
     * balancers carry similar load.
     */
    private static final double UNCROWDED_IN_FLIGHT_PER_BACKEND = 2;

    /**
     * The load of all backends, as a fraction of their capacity, from which no capacity is lent to
     * lanes.
     */
    private static final double MAX_LOAD_TO_LEND = 0.75;

    private final DeploymentTopology topology;
    private final SplittableRandom random;
    private final ReadyBackends ready;
    private final LoadTracker load;
    private final SlowStart slowStart;

    LaneLoad(
            DeploymentTopology topology,
            SplittableRandom random,
            ReadyBackends ready,
            LoadTracker load,
            SlowStart slowStart) {
        this.topology = topology;
        this.random = random;
        this.ready = ready;
        this.load = load;
        this.slowStart = slowStart;
    }

    /**
     * Whether a request should leave its lane because latency there is far above the mean. The
     * decision is drawn at random, so that the requests that stay keep the lane's latency at the
     * given limit.
     *
     * @param maxLatencyRatio a lane's latency relative to the mean of all, above which requests
     *     leave
     */
    public boolean isCrowded(int lane, double maxLatencyRatio, long nowTicks) {
        double latencyRatio =
                load.laneLatencyTicks(lane, nowTicks)
                        / Math.max(1, load.meanLatencyTicks(nowTicks));
        double inFlightPerBackend =
                load.estimatedTotalInFlight(latencyRatio, nowTicks) / ready.count();
        boolean fewBackends =
                MAX_BACKENDS_PER_LOAD_BALANCER * topology.loadBalancerCount() > ready.count();
        // Where load balancers carry different loads, their own says nothing about the total.
        boolean mayBeCrowded =
                inFlightPerBackend > UNCROWDED_IN_FLIGHT_PER_BACKEND || !topology.evenlyLoaded();
        return fewBackends && mayBeCrowded && random.nextDouble() * latencyRatio > maxLatencyRatio;
    }

    /** The ready backends of lanes whose latency is not above the mean of all. */
    public List<Backend> backendsOfUncrowdedLanes(long nowTicks) {
        double meanTicks = load.meanLatencyTicks(nowTicks);
        return ready.all().stream()
                .filter(backend -> load.laneLatencyTicks(backend.laneIndex, nowTicks) <= meanTicks)
                .toList();
    }

    /**
     * The capacity of a tenant's lane, in backends, at least 1: the sum of the warm-up fractions of
     * its backends that are not outliers, and the capacity that all backends can lend it.
     *
     * @param maxInFlightPerBackend attempts in flight at which a backend is full
     */
    public double capacityInBackends(int tenant, double maxInFlightPerBackend, long nowTicks) {
        double lentBackends = lentBackends(maxInFlightPerBackend, nowTicks);
        double ownBackends =
                ready.lane(tenant).stream()
                        .filter(backend -> !OutlierDetector.isOutlier(backend))
                        .mapToDouble(backend -> slowStart.warmUpFraction(backend, nowTicks))
                        .sum();
        return Math.max(1, lentBackends + ownBackends);
    }

    private double lentBackends(double maxInFlightPerBackend, long nowTicks) {
        // Before the window is full, backends would look idle.
        if (!topology.evenlyLoaded() || !load.isWindowFull(nowTicks)) {
            return 0;
        }
        double fullBackends = load.estimatedTotalInFlight(nowTicks) / maxInFlightPerBackend;
        return Math.max(0, MAX_LOAD_TO_LEND * ready.count() - fullBackends);
    }
}
