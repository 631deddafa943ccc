package cottonlock.decision.backend;

import cottonlock.decision.api.AttemptOutcome;
import cottonlock.decision.api.DeploymentTopology;
import cottonlock.decision.stats.SlidingWindowMean;
import cottonlock.decision.stats.SlidingWindowSum;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The load of this load balancer's attempts: how many are in flight, and for how long, by lane and
 * by kind of machine. Owned by the load balancer's thread.
 */
public final class LoadTracker {
    /** Window of the latencies, in mean latency objectives. */
    static final double LATENCY_WINDOW_OBJECTIVES = 6.4;

    /**
     * Window of the load, in mean latency objectives: long enough for a few responses of each
     * tenant where there are many load balancers, and short enough to act on.
     */
    private static final double LOAD_WINDOW_OBJECTIVES = 2.56;

    private static final int LOAD_BUCKETS = 8;

    /** Prior samples of the mean latency for each kind of machine. */
    private static final int PRIOR_SAMPLES_PER_MACHINE_KIND = 10;

    /**
     * An attempt counts as load up to this age, as a fraction of its latency objective, so that a
     * lost attempt counts only as much as a slow one.
     */
    private static final double MAX_COUNTED_AGE_OBJECTIVES = 0.6;

    /** The series number for means that have a single series. */
    private static final int SINGLE_SERIES = 0;

    private final DeploymentTopology topology;
    private final long loadWindowTicks;

    /** The sum of the times that attempts were in flight between samples, in ticks. */
    private final SlidingWindowSum inFlightTicks;

    /** The number of attempts sent. */
    private final SlidingWindowSum attemptsSent;

    private final SlidingWindowMean latency;
    private final SlidingWindowMean latencyByLane;
    private final SlidingWindowMean latencyByMachineKind;
    private final Map<Integer, Integer> inFlightByTenant = new HashMap<>();
    private long sampledAtTicks;
    private long firstSentAtTicks;

    LoadTracker(DeploymentTopology topology) {
        this.topology = topology;
        loadWindowTicks = Math.round(LOAD_WINDOW_OBJECTIVES * topology.meanLatencyObjectiveTicks());
        inFlightTicks = new SlidingWindowSum(loadWindowTicks, LOAD_BUCKETS);
        attemptsSent = new SlidingWindowSum(loadWindowTicks, LOAD_BUCKETS);
        long latencyWindowTicks =
                Math.round(LATENCY_WINDOW_OBJECTIVES * topology.meanLatencyObjectiveTicks());
        latency = new SlidingWindowMean(latencyWindowTicks);
        latencyByLane = new SlidingWindowMean(latencyWindowTicks);
        latencyByMachineKind = new SlidingWindowMean(latencyWindowTicks);
    }

    /** Excludes the time of a stall of this process, which has just ended, from the load. */
    void onStall(long nowTicks) {
        sampledAtTicks = nowTicks;
    }

    /** The first attempt of this load balancer is sent. */
    void onFirstSent(long nowTicks) {
        firstSentAtTicks = nowTicks;
    }

    /** An attempt is sent. */
    void onSent(BackendRequest request, long nowTicks) {
        inFlightByTenant.merge(request.tenant(), 1, Integer::sum);
        attemptsSent.add(nowTicks, 1);
    }

    /**
     * An attempt has ended.
     *
     * @param measurable whether its latency may be used; not right after a stall of this process
     */
    void onCompleted(CompletedAttempt attempt, boolean measurable, long nowTicks) {
        boolean hasLatency =
                attempt.outcome() == AttemptOutcome.COMPLETED
                        || attempt.outcome() == AttemptOutcome.TIMED_OUT;
        if (measurable && hasLatency) {
            long latencyTicks = attempt.latencyTicks();
            Backend backend = attempt.backend();
            latency.add(nowTicks, SINGLE_SERIES, latencyTicks);
            latencyByLane.add(nowTicks, backend.laneIndex, latencyTicks);
            latencyByMachineKind.add(nowTicks, backend.endpoint.machineKind(), latencyTicks);
        }
        inFlightByTenant.merge(attempt.request().tenant(), -1, Integer::sum);
    }

    /** Adds the time that attempts were in flight since the last sample. */
    void sampleInFlight(Collection<Backend> backends, long nowTicks) {
        for (Backend backend : backends) {
            for (BackendRequest request : backend.requestsInFlight.values()) {
                long ageTicks = nowTicks - request.lastSentAtTicks();
                long objectiveTicks = request.requestClass().latencyObjectiveTicks();
                boolean countsAsLoad = ageTicks < MAX_COUNTED_AGE_OBJECTIVES * objectiveTicks;
                inFlightTicks.add(
                        nowTicks, countsAsLoad ? Math.min(ageTicks, nowTicks - sampledAtTicks) : 0);
            }
        }
        sampledAtTicks = nowTicks;
    }

    /** Updates the relative speeds of the kinds of machines from their latencies. */
    void updateRelativeSpeeds(List<Backend> ready, long nowTicks) {
        double mean = latency.mean(nowTicks, SINGLE_SERIES, 1, 1);
        for (Backend backend : ready) {
            double speed =
                    mean
                            / latencyByMachineKind.mean(
                                    nowTicks,
                                    backend.endpoint.machineKind(),
                                    PRIOR_SAMPLES_PER_MACHINE_KIND,
                                    mean);
            // Squared, because much of the latency is often spent in further tiers, which does not
            // depend on the kind of machine.
            backend.relativeSpeed = speed * speed;
        }
    }

    /** The number of attempts of a tenant that are in flight. */
    int inFlight(int tenant) {
        return inFlightByTenant.getOrDefault(tenant, 0);
    }

    /**
     * The mean number of attempts in flight over the load window, multiplied by the number of load
     * balancers.
     */
    double estimatedTotalInFlight(long nowTicks) {
        return inFlightTicks.sum(nowTicks)
                * (double) topology.loadBalancerCount()
                / loadWindowTicks;
    }

    /** The same, with this load balancer's mean multiplied by a factor. */
    double estimatedTotalInFlight(double factor, long nowTicks) {
        return inFlightTicks.sum(nowTicks)
                * factor
                * topology.loadBalancerCount()
                / loadWindowTicks;
    }

    /** Whether the first attempt was sent at least a load window ago. */
    boolean isWindowFull(long nowTicks) {
        return nowTicks - firstSentAtTicks >= loadWindowTicks;
    }

    /** The mean latency of all attempts, in ticks; 0 if there are none. */
    double meanLatencyTicks(long nowTicks) {
        return latency.mean(nowTicks, SINGLE_SERIES, 0, 0);
    }

    /** The mean latency of attempts in a lane, with one prior sample of the mean of all. */
    double laneLatencyTicks(int laneIndex, long nowTicks) {
        return latencyByLane.mean(nowTicks, laneIndex, 1, meanLatencyTicks(nowTicks));
    }

    /**
     * The mean time in flight, in ticks, by Little's law, so that attempts still in flight count.
     *
     * @param priorSamples the number of prior samples that are added to the measured ones, at least
     *     1
     * @param priorTicks the value of the prior samples
     */
    public double meanTimeInFlightTicks(int priorSamples, double priorTicks, long nowTicks) {
        return (inFlightTicks.sum(nowTicks) + priorSamples * priorTicks)
                / (attemptsSent.sum(nowTicks) + priorSamples);
    }
}
