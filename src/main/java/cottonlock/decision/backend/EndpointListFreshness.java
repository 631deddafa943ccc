package cottonlock.decision.backend;

import cottonlock.decision.api.DeploymentTopology;
import cottonlock.decision.api.LoadBalancerActions;
import java.util.SplittableRandom;

/**
 * Decides when to subscribe to the endpoint list again, with exponential backoff after failures.
 * Owned by the load balancer's thread.
 */
final class EndpointListFreshness {
    /** The longest backoff is at most the maximum poll interval divided by this number. */
    private static final int BACKOFFS_PER_POLL_INTERVAL = 4;

    /** Half of the first backoff of 0.2 s: each failure, including the first one, doubles it. */
    private static final long BASE_BACKOFF_TICKS = 1_000;

    /**
     * The maximum number of doublings of the base backoff; more would not change the longest one.
     */
    private static final int MAX_BACKOFF_DOUBLINGS = 8;

    /** The longest backoff, 0.8 s, except after a call that has waited in a queue. */
    private static final long MAX_BACKOFF_TICKS = 8_000;

    /**
     * A call that fails after this time, 1 s, or later has waited in the queue of an overloaded
     * discovery.
     */
    private static final long MIN_QUEUE_WAIT_TICKS = 10_000;

    /**
     * The longest time, 3.9 s, between the starts of a call that has waited in the queue and of the
     * next one. With up to 2 s for which the next one may wait too, the list arrives within the 6 s
     * after which a change is expected to be known.
     */
    private static final long MAX_CALL_INTERVAL_TICKS = 39_000;

    private static final long NEVER = Long.MAX_VALUE;

    private final LoadBalancerActions actions;
    private final SplittableRandom random;
    private final DeploymentTopology topology;
    private long nextPollAtTicks = NEVER;
    private long lastPollAtTicks;
    private int consecutiveFailures;

    EndpointListFreshness(
            LoadBalancerActions actions, SplittableRandom random, DeploymentTopology topology) {
        this.actions = actions;
        this.random = random;
        this.topology = topology;
    }

    /**
     * A list has arrived.
     *
     * @param cached whether it was kept from an earlier run and may be out of date
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

    /**
     * A subscription has failed or ended. The next one follows after a backoff that grows with each
     * failure, since a discovery that has more callers than it can answer refuses all of them.
     */
    void onFailure(long nowTicks) {
        consecutiveFailures++;
        long backoffTicks =
                Math.min(
                        maxBackoffTicks(nowTicks),
                        BASE_BACKOFF_TICKS << Math.min(MAX_BACKOFF_DOUBLINGS, consecutiveFailures));
        // All load balancers lose discovery at once, so the upper half of the backoff is jitter.
        long halfBackoffTicks = backoffTicks / 2;
        nextPollAtTicks =
                nowTicks + halfBackoffTicks + random.nextLong(Math.max(1, halfBackoffTicks));
    }

    private long maxBackoffTicks(long nowTicks) {
        long callDurationTicks = nowTicks - lastPollAtTicks;
        long remainingTicks =
                callDurationTicks < MIN_QUEUE_WAIT_TICKS
                        ? 0
                        : MAX_CALL_INTERVAL_TICKS - callDurationTicks;
        return Math.min(
                topology.maxPollIntervalTicks() / BACKOFFS_PER_POLL_INTERVAL,
                Math.max(MAX_BACKOFF_TICKS, remainingTicks));
    }

    /** Subscribes again if the backoff has ended. */
    void pollIfDue(long nowTicks) {
        if (nowTicks >= nextPollAtTicks) {
            nextPollAtTicks = NEVER;
            lastPollAtTicks = nowTicks;
            actions.subscribeEndpointList();
        }
    }
}
