package cottonlock.decision.backend;

import cottonlock.decision.api.DeploymentTopology;
import cottonlock.decision.api.LoadBalancerActions;
import java.util.SplittableRandom;

/**
 * Decides when the endpoint list is subscribed to again, with an exponential backoff after
 * failures. Owned by the load balancer's thread.
 */
final class EndpointListFreshness {
    /**
     * A backoff is at most this fraction of the time that a load balancer may go without a poll.
     */
    private static final int BACKOFFS_PER_POLL_INTERVAL = 4;

    /** Half of the first backoff, which is 0.2 s: each failure, the first one too, doubles it. */
    private static final long BASE_BACKOFF_TICKS = 1_000;

    /**
     * Doublings of the base backoff: the longest of 0.8 s lets a poll follow within 2 s of the
     * recovery of discovery, whose list counts as known 6 s after it.
     */
    private static final int MAX_BACKOFF_DOUBLINGS = 3;

    private static final long NEVER = Long.MAX_VALUE;

    private final LoadBalancerActions actions;
    private final SplittableRandom random;
    private final DeploymentTopology topology;
    private long nextPollAtTicks = NEVER;
    private int consecutiveFailures;

    EndpointListFreshness(
            LoadBalancerActions actions, SplittableRandom random, DeploymentTopology topology) {
        this.actions = actions;
        this.random = random;
        this.topology = topology;
    }

    /**
     * A list has come.
     *
     * @param cached whether it is only what this load balancer last held
     */
    void onList(boolean cached) {
        if (!topology.endpointListPolled()) {
            return;
        }
        consecutiveFailures = 0;
        nextPollAtTicks = NEVER;
        if (cached) {
            actions.subscribeEndpointList();
        }
    }

    /** A subscription has failed or ended: the next one follows after a backoff. */
    void onFailure(long nowTicks) {
        consecutiveFailures++;
        long backoffTicks =
                Math.min(
                        topology.maxPollIntervalTicks() / BACKOFFS_PER_POLL_INTERVAL,
                        BASE_BACKOFF_TICKS << Math.min(MAX_BACKOFF_DOUBLINGS, consecutiveFailures));
        // All load balancers lose discovery at once, so the upper half of the backoff is jitter.
        long halfTicks = backoffTicks / 2;
        nextPollAtTicks = nowTicks + halfTicks + random.nextLong(Math.max(1, halfTicks));
    }

    /** Subscribes again where the backoff is over. */
    void pollIfDue(long nowTicks) {
        if (nowTicks >= nextPollAtTicks) {
            nextPollAtTicks = NEVER;
            actions.subscribeEndpointList();
        }
    }
}
