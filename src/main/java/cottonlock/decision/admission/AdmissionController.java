package cottonlock.decision.admission;

import cottonlock.core.Ticks;
import cottonlock.decision.api.AttemptOutcome;
import cottonlock.decision.api.DeploymentTopology;
import cottonlock.decision.api.RejectionReason;
import cottonlock.decision.api.Tenant;
import cottonlock.decision.backend.BackendRegistry;
import cottonlock.decision.request.Request;
import cottonlock.decision.request.RequestReturnHandler;
import cottonlock.decision.request.RequestStage;
import cottonlock.decision.request.TimerPeriod;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Admits no more requests than the backends can answer in time. With enough backends for each load
 * balancer, a {@link ConcurrencyLimit} decides, and requests within their quota may wait in an
 * {@link AdmissionQueue}; with fewer, a {@link LaneRateLimit} for each tenant. Owned by the load
 * balancer's thread.
 */
public final class AdmissionController implements RequestStage, RequestReturnHandler {
    /**
     * With fewer backends per load balancer, its own requests in flight say too little about the
     * load.
     */
    private static final double MIN_BACKENDS_PER_LOAD_BALANCER = 0.5;

    /** A request is queued only if its deadline is further away than this. */
    private static final long MIN_TIME_LEFT_TO_QUEUE_TICKS = 4 * TimerPeriod.TICKS;

    private final BackendRegistry registry;
    private final DeploymentTopology topology;

    /**
     * Whether requests may be rejected here; false in a tier whose requests have already passed
     * another tier.
     */
    private final boolean enforced;

    private final LatencyStatistics statistics;
    private final ConcurrencyLimit concurrencyLimit;
    private final AdmissionQueue queue = new AdmissionQueue();
    private final QuotaWorkload workload;

    /** One for each tenant; a single one if there are no tenants. */
    private final LaneRateLimit[] laneRateLimits;

    /** Assigned once, before the first request. */
    private RequestStage next;

    /** Assigned once, before the first request. */
    private RequestReturnHandler completion;

    /**
     * A controller without admitted requests.
     *
     * @param enforced whether requests may be rejected here; false in a tier whose requests have
     *     already passed another tier
     */
    public AdmissionController(
            BackendRegistry registry,
            SplittableRandom random,
            List<Tenant> tenants,
            DeploymentTopology topology,
            boolean enforced) {
        this.registry = registry;
        this.topology = topology;
        this.enforced = enforced;
        statistics = new LatencyStatistics(topology.meanLatencyObjectiveTicks());
        concurrencyLimit = new ConcurrencyLimit(topology, statistics, random);
        workload = new QuotaWorkload(tenants);
        laneRateLimits = new LaneRateLimit[Math.max(1, tenants.size())];
        for (int tenant = 0; tenant < laneRateLimits.length; tenant++) {
            double quota = tenant < tenants.size() ? tenants.get(tenant).quotaPerSecond() : 0;
            laneRateLimits[tenant] =
                    !topology.evenlyLoaded() && quota > 0
                            ? new ProportionalLaneRateLimit(
                                    quota / Ticks.PER_SECOND, workload, registry, random)
                            : new EqualShareLaneRateLimit(topology.loadBalancerCount());
        }
    }

    /** Connects the stages that follow; called once, before the first request. */
    public void connect(RequestStage nextStage, RequestReturnHandler completionHandler) {
        next = nextStage;
        completion = completionHandler;
    }

    /** Admits, queues or rejects a request. */
    @Override
    public void process(Request request, long nowTicks) {
        statistics.onRequest(nowTicks);
        workload.onRequest(request, nowTicks);
        if (!enforced || hasCapacity(request, nowTicks)) {
            admit(request, nowTicks);
            return;
        }
        request.setRejectionReason(rejectionReason(request, nowTicks));
        if (request.rejectionReason() == RejectionReason.NO_CAPACITY && !hasFewBackends()) {
            queue.add(request, nowTicks);
        } else {
            completion.onRequestReturned(request, nowTicks);
        }
    }

    private boolean hasCapacity(Request request, long nowTicks) {
        if (!hasFewBackends()) {
            return concurrencyLimit.permits(
                    request.isOverQuota(), registry.ready().size(), nowTicks);
        }
        double usableBackends =
                registry.laneLoad()
                        .capacityInBackends(
                                request.tenant(),
                                LaneRateLimit.MAX_CONCURRENCY_PER_BACKEND,
                                nowTicks);
        return laneRateLimits[request.tenant()].permits(request, usableBackends, nowTicks);
    }

    private boolean hasFewBackends() {
        return MIN_BACKENDS_PER_LOAD_BALANCER * topology.loadBalancerCount()
                > registry.ready().size();
    }

    private RejectionReason rejectionReason(Request request, long nowTicks) {
        if (request.isOverQuota()) {
            return RejectionReason.OVER_QUOTA;
        }
        if (nowTicks + MIN_TIME_LEFT_TO_QUEUE_TICKS >= request.deadlineTicks()) {
            return RejectionReason.DEADLINE_EXCEEDED;
        }
        double queueCapacity =
                statistics.completionsWithin(AdmissionQueue.MAX_WAIT_FRACTION, nowTicks);
        return queue.size() >= queueCapacity
                ? RejectionReason.QUEUE_FULL
                : RejectionReason.NO_CAPACITY;
    }

    private void admit(Request request, long nowTicks) {
        request.onAdmitted(nowTicks);
        concurrencyLimit.acquire();
        next.process(request, nowTicks);
    }

    /** Takes a request that needs no further attempt, and admits queued ones in its place. */
    @Override
    public void onRequestReturned(Request request, long nowTicks) {
        long latencyTicks = nowTicks - request.admittedAtTicks();
        if (request.isCompleted() && request.holdsCapacity()) {
            statistics.recordCapacityUse(latencyTicks, nowTicks);
        }
        // An overdue request no longer holds capacity, but its latency counts unless its backend
        // was found silent.
        if (request.isCompleted() && !request.lastAttempt().backendWasSilent()) {
            statistics.recordLatency(request, latencyTicks, nowTicks);
        }
        releaseCapacity(request);
        completion.onRequestReturned(request, nowTicks);
        admitQueued(nowTicks);
    }

    /** Stops counting a request against the limit, though it may still be in flight. */
    public void releaseCapacity(Request request) {
        if (request.holdsCapacity()) {
            concurrencyLimit.release();
            request.onCapacityReleased();
        }
    }

    private void admitQueued(long nowTicks) {
        while (!queue.isEmpty()) {
            Request request = queue.next(nowTicks);
            if (!hasCapacity(request, nowTicks)) {
                return;
            }
            queue.remove(request);
            admit(request, nowTicks);
        }
    }

    /** An attempt has ended: its latency is a sample for the tenant's rate limit. */
    public void onAttemptCompleted(Request request, AttemptOutcome outcome, long latencyTicks) {
        laneRateLimits[request.tenant()].onAttemptCompleted(
                outcome, latencyTicks, request.requestClass().latencyObjectiveTicks());
    }

    /**
     * Ends queued requests that have waited too long, admits those for which there is capacity now,
     * and samples the latency.
     */
    public void onTimer(long nowTicks) {
        for (Request request : queue.expired(nowTicks)) {
            queue.remove(request);
            completion.onRequestReturned(request, nowTicks);
        }
        admitQueued(nowTicks);
        statistics.sampleCalmLatency(concurrencyLimit.inFlight(), nowTicks);
    }

    /** Whether responses take clearly longer than in calm times. */
    public boolean isUnderPressure(long nowTicks) {
        return statistics.isUnderPressure(nowTicks);
    }

    /** Drops a queued request whose client has disconnected. */
    public void onClientDisconnected(long requestId) {
        queue.removeById(requestId);
    }

    /** Bounds the deadlines of all queued requests by this time. */
    public void limitDeadlines(long latestTicks) {
        queue.limitDeadlines(latestTicks);
    }
}
