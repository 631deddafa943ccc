package cottonlock.decision.api;

/**
 * The layout of the load balancers of a deployment, as given by the settings. Durations are
 * {@linkplain cottonlock.core.Ticks ticks} of 0.1 ms.
 *
 * @param loadBalancerCount the number of load balancers, at least 1
 * @param ownIndex the index of this one among them, from 0
 * @param evenlyLoaded whether all carry about the same load; false where each client has a load
 *     balancer of its own
 * @param connectionBreakEvenTicks the idle time, per ready backend, after which a connection has
 *     cost as much as opening a new one: it is multiplied by the number of ready backends; 0 where
 *     idle connections cost nothing
 * @param peerMessagesAllowed whether load balancers may send messages to each other
 * @param endpointListPolled whether load balancers must subscribe to the endpoint list themselves
 * @param maxPollIntervalTicks the maximum time between two polls of the endpoint list
 * @param removalBinding whether a backend that has left the list without draining must get no more
 *     requests
 * @param meanLatencyObjectiveTicks the mean latency objective of the request classes, by which the
 *     windows of statistics are scaled: the longer requests may take, the fewer samples arrive in a
 *     given time. At least 15,625, and exactly that where there are few load balancers
 */
public record DeploymentTopology(
        int loadBalancerCount,
        int ownIndex,
        boolean evenlyLoaded,
        double connectionBreakEvenTicks,
        boolean peerMessagesAllowed,
        boolean endpointListPolled,
        long maxPollIntervalTicks,
        boolean removalBinding,
        long meanLatencyObjectiveTicks) {
    /**
     * With at most this many load balancers, each sees enough of the load to rely on its own
     * samples.
     */
    private static final int MAX_FEW_LOAD_BALANCERS = 8;

    /** The minimum by which windows of statistics are scaled. */
    private static final long MIN_MEAN_LATENCY_OBJECTIVE_TICKS = 15_625;

    /**
     * Raises the count of load balancers and the mean latency objective to their minimum, and uses
     * the minimum objective where there are few load balancers.
     */
    public DeploymentTopology {
        loadBalancerCount = Math.max(1, loadBalancerCount);
        meanLatencyObjectiveTicks =
                loadBalancerCount > MAX_FEW_LOAD_BALANCERS
                        ? Math.max(MIN_MEAN_LATENCY_OBJECTIVE_TICKS, meanLatencyObjectiveTicks)
                        : MIN_MEAN_LATENCY_OBJECTIVE_TICKS;
    }

    /** Whether there are so many load balancers that each sees only a small part of the load. */
    public boolean hasManyLoadBalancers() {
        return loadBalancerCount > MAX_FEW_LOAD_BALANCERS;
    }
}
