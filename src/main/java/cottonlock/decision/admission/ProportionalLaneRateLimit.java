package cottonlock.decision.admission;

import cottonlock.decision.backend.BackendRegistry;
import cottonlock.decision.request.Request;
import java.util.SplittableRandom;

/**
 * For load balancers that carry very different load: each admits the same fraction of the requests
 * that arrive, which is the lane's rate divided by the tenant's quota over all load balancers.
 */
final class ProportionalLaneRateLimit extends LaneRateLimit {
    /** Prior samples of the expected attempt time that are added to the measured ones. */
    private static final int ASSUMED_SAMPLES = 4;

    /** The fraction admitted at the start. */
    private static final double INITIAL_FRACTION = 0.6;

    /** The maximum growth of the fraction per tick. */
    private static final double MAX_FRACTION_GROWTH_PER_TICK = 7e-6;

    /**
     * The margin above the mean number of busy cores, in standard deviations of a Poisson count.
     */
    private static final double MARGIN_DEVIATIONS = 0.7;

    /** The upper bound of a sample, in latency objectives. */
    private static final int MAX_SAMPLE_OBJECTIVES = 4;

    private final double quotaPerTick;
    private final QuotaWorkload workload;
    private final BackendRegistry registry;
    private final SplittableRandom random;
    private double admittedFraction = INITIAL_FRACTION;

    /**
     * A limit for one tenant.
     *
     * @param quotaPerTick the tenant's quota over all load balancers, above 0
     */
    ProportionalLaneRateLimit(
            double quotaPerTick,
            QuotaWorkload workload,
            BackendRegistry registry,
            SplittableRandom random) {
        this.quotaPerTick = quotaPerTick;
        this.workload = workload;
        this.registry = registry;
        this.random = random;
    }

    @Override
    boolean permits(Request request, double usableBackends, long nowTicks) {
        double perBackend = concurrencyPerBackend(nowTicks);
        // A load balancer with little load rarely sees responses for one tenant, so those of all
        // tenants are used.
        double atQuotaTicks = perBackend * usableBackends / quotaPerTick;
        double expectedTicks =
                registry.load()
                        .meanTimeInFlightTicks(
                                ASSUMED_SAMPLES,
                                Math.min(expectedAttemptTicks(request), atQuotaTicks),
                                nowTicks);
        long elapsedTicks = ticksSinceUpdate(nowTicks);
        double attemptTicks = updateAttemptTicks(expectedTicks, nowTicks);
        double laneRequestsPerTick = laneRequestsPerTick(perBackend, usableBackends, attemptTicks);
        admittedFraction =
                Math.min(
                        admittedFraction + elapsedTicks * MAX_FRACTION_GROWTH_PER_TICK,
                        laneRequestsPerTick / quotaPerTick);
        return admissionDraw(request)
                < admittedFraction * expectedCredit(request, attemptTicks, nowTicks);
    }

    @Override
    double maxSampleTicks(long objectiveTicks) {
        return MAX_SAMPLE_OBJECTIVES * objectiveTicks;
    }

    /** The cores that the quotas keep busy at each backend, with a margin for random variation. */
    private double concurrencyPerBackend(long nowTicks) {
        double cores = workload.coresPerBackend(registry.ready().size(), nowTicks);
        return cores > 0
                ? cores + MARGIN_DEVIATIONS * Math.sqrt(cores)
                : MAX_CONCURRENCY_PER_BACKEND;
    }

    /**
     * A number from 0 to 1. It is the same for each retry of a request, which its estimated work
     * identifies: with independent draws, a client that retries would nearly always be admitted in
     * the end.
     */
    private double admissionDraw(Request request) {
        SplittableRandom source =
                request.estimatedWorkTicks() > 0
                        ? new SplittableRandom(request.estimatedWorkTicks())
                        : random;
        return source.nextDouble();
    }

    /** The expected fraction of its credit that a request admitted now earns. */
    private static double expectedCredit(Request request, double attemptTicks, long nowTicks) {
        if (nowTicks + attemptTicks / 2 < request.objectiveDeadlineTicks()) {
            return 1;
        }
        boolean maySucceedLate = request.objectiveDeadlineTicks() < request.deadlineTicks();
        return maySucceedLate ? request.requestClass().lateCredit() : 0;
    }
}
