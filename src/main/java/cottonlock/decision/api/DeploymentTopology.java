package cottonlock.decision.api;

/**
 * How the load balancers of a deployment are laid out, as far as the settings say. Lengths of time
 * are {@linkplain cottonlock.core.Ticks ticks} of 0.1 ms.
 *
 * @param loadBalancerCount how many load balancers there are, 1 at least
 * @param ownIndex the place of this one among them, from 0
 * @param evenlyLoaded whether each carries about the same load; not where each client has one of
 *     its own
 * @param connectionBreakEvenTicks for each backend, how long a connection must be idle to cost as
 *     much as opening a new one; 0 where an idle connection costs nothing
 * @param peerMessagesAllowed whether load balancers may send messages to each other
 * @param endpointListPolled whether load balancers must subscribe to the endpoint list themselves
 * @param maxPollIntervalTicks how long a load balancer may go without a poll
 * @param removalBinding whether a backend that has left the list without draining must get no more
 *     requests
 * @param meanLatencyObjectiveTicks the mean latency objective of the request classes, in which the
 *     windows of statistics are sized: the longer requests may take, the fewer samples come in a
 *     given time. Never below 15,625, and exactly that where there are few load balancers
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
    /** Up to so many load balancers, each sees enough of the load to judge by its own samples. */
    private static final int MAX_FEW_LOAD_BALANCERS = 8;

    /** The least that windows of statistics are sized by. */
    private static final long MIN_MEAN_LATENCY_OBJECTIVE_TICKS = 15_625;

    /** Raises what is too small to the least that makes sense. */
    public DeploymentTopology {
        loadBalancerCount = Math.max(1, loadBalancerCount);
        meanLatencyObjectiveTicks =
                loadBalancerCount > MAX_FEW_LOAD_BALANCERS
                        ? Math.max(MIN_MEAN_LATENCY_OBJECTIVE_TICKS, meanLatencyObjectiveTicks)
                        : MIN_MEAN_LATENCY_OBJECTIVE_TICKS;
    }

    /** Whether there are so many load balancers that each sees little of the whole load. */
    public boolean hasManyLoadBalancers() {
        return loadBalancerCount > MAX_FEW_LOAD_BALANCERS;
    }
}
