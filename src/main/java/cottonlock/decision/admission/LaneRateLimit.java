package cottonlock.decision.admission;

import cottonlock.decision.api.AttemptOutcome;
import cottonlock.decision.request.Request;

/**
 * Limits how fast a tenant's requests are admitted where there are so few backends for each load
 * balancer that one load balancer's requests in flight say nothing about the load. By Little's law,
 * the rate of a lane is the concurrency that its backends may have, divided by the time that
 * attempts take. Owned by the load balancer's thread. Times are in {@link cottonlock.core.Ticks}.
 */
abstract class LaneRateLimit {
    /** Requests in flight that a backend may have where there is no estimate of their work. */
    static final double MAX_CONCURRENCY_PER_BACKEND = 5;

    /**
     * The time constant, 5 s, with which a measured attempt time decays to the expected one: an
     * overload has ended by then.
     */
    private static final double DECAY_TICKS = 50_000;

    /** The weight of a new sample is one in this many. */
    private static final int SAMPLE_WEIGHT_DIVISOR = 8;

    /** The estimated time that an attempt takes. */
    private double attemptTicks;

    /** When the estimate was last updated; -1 before the first request. */
    private long updatedAtTicks = -1;

    /**
     * Whether a request is admitted now.
     *
     * @param usableBackends the capacity of the tenant's lane, in backends
     */
    abstract boolean permits(Request request, double usableBackends, long nowTicks);

    /** The upper bound of a sample from a class with this latency objective. */
    abstract double maxSampleTicks(long objectiveTicks);

    /** Records an ended attempt as a sample of the attempt time. */
    final void onAttemptCompleted(AttemptOutcome outcome, long durationTicks, long objectiveTicks) {
        // A fast failure must not count as a fast response.
        double sampleTicks =
                outcome == AttemptOutcome.COMPLETED
                        ? (double) durationTicks
                        : Math.max((double) durationTicks, 2 * attemptTicks);
        double boundedTicks = Math.min(sampleTicks, maxSampleTicks(objectiveTicks));
        attemptTicks += (boundedTicks - attemptTicks) / SAMPLE_WEIGHT_DIVISOR;
    }

    /**
     * Lets the estimated attempt time decay to the expected one, if it is longer, and returns it.
     */
    final double updateAttemptTicks(double expectedTicks, long nowTicks) {
        if (updatedAtTicks < 0) {
            attemptTicks = expectedTicks;
        } else {
            double decayFactor = Math.exp((updatedAtTicks - nowTicks) / DECAY_TICKS);
            attemptTicks =
                    Math.min(
                            attemptTicks,
                            expectedTicks + (attemptTicks - expectedTicks) * decayFactor);
        }
        updatedAtTicks = nowTicks;
        return attemptTicks;
    }

    /** The time since the last update, 0 before the first. */
    final long ticksSinceUpdate(long nowTicks) {
        return updatedAtTicks < 0 ? 0 : nowTicks - updatedAtTicks;
    }

    /** The time that attempts of the request's class are expected to take without any sample. */
    static double expectedAttemptTicks(Request request) {
        return request.requestClass().latencyObjectiveTicks() / 3.0;
    }

    /** The rate of a lane in requests per tick, by Little's law. */
    static double laneRequestsPerTick(
            double concurrencyPerBackend, double usableBackends, double attemptTicks) {
        return concurrencyPerBackend * usableBackends / Math.max(1, attemptTicks);
    }
}
