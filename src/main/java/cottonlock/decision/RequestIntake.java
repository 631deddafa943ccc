package cottonlock.decision;

import cottonlock.decision.admission.TenantQuota;
import cottonlock.decision.api.DeploymentTopology;
import cottonlock.decision.api.LoadBalancerActions;
import cottonlock.decision.api.RejectionReason;
import cottonlock.decision.api.Tenant;
import cottonlock.decision.request.Request;
import cottonlock.decision.request.RequestArrival;
import cottonlock.decision.request.RequestStage;
import cottonlock.decision.retry.RetryPolicy;
import java.util.Arrays;
import java.util.List;

/**
 * The first and last step of a request: takes it from its tenant's quota when it arrives, and ends
 * it with {@link LoadBalancerActions#reject} or {@link LoadBalancerActions#fail} when it returns
 * without a response. Owned by the load balancer's thread.
 */
public final class RequestIntake {
    private final LoadBalancerActions actions;
    private final TenantQuota quota;

    /** Whether requests come directly from clients, so that quotas apply here. */
    private final boolean firstTier;

    private final long maxRetryAfterTicks;

    /** The longest client timeout seen of each request class, by number. */
    private long[] longestTimeoutTicks = {};

    /** Assigned once, before the first request. */
    private RequestStage next;

    /**
     * An intake for these tenants.
     *
     * @param firstTier whether requests come directly from clients, so that quotas apply here
     * @param maxRetryAfterTicks the longest time to advise clients to wait before a retry; 0 where
     *     clients follow no such advice
     */
    public RequestIntake(
            LoadBalancerActions actions,
            List<Tenant> tenants,
            boolean firstTier,
            DeploymentTopology topology,
            long maxRetryAfterTicks) {
        this.actions = actions;
        this.quota = new TenantQuota(tenants, topology);
        this.firstTier = firstTier;
        this.maxRetryAfterTicks = maxRetryAfterTicks;
    }

    void connect(RequestStage nextStage) {
        next = nextStage;
    }

    /**
     * Handles a request that has arrived.
     *
     * @param stalledTicks how long this process was stalled just before, 0 if it was not
     */
    void onRequest(RequestArrival arrival, long stalledTicks, long nowTicks) {
        long timeoutTicks = arrival.clientTimeoutTicks();
        // Clients of a class have similar timeouts, so the difference from the longest one is the
        // time that the request waited for this process while it was stalled.
        long waitedTicks = Math.min(stalledTicks, longestTimeoutTicks(arrival) - timeoutTicks);
        Request request = new Request(arrival, nowTicks - waitedTicks, nowTicks + timeoutTicks);
        if (firstTier && !quota.tryTake(arrival.tenant(), arrival.clientRetry(), nowTicks)) {
            request.markOverQuota();
        }
        if (request.deadlineTicks() <= nowTicks) {
            request.setRejectionReason(RejectionReason.DEADLINE_EXCEEDED);
            finish(request, nowTicks);
        } else {
            next.process(request, nowTicks);
        }
    }

    /** The longest client timeout seen of the request's class, including its own. */
    private long longestTimeoutTicks(RequestArrival arrival) {
        int number = arrival.requestClass().number();
        if (number >= longestTimeoutTicks.length) {
            longestTimeoutTicks = Arrays.copyOf(longestTimeoutTicks, number + 1);
        }
        longestTimeoutTicks[number] =
                Math.max(longestTimeoutTicks[number], arrival.clientTimeoutTicks());
        return longestTimeoutTicks[number];
    }

    /** Ends a request unless it has its final response already. */
    void finish(Request request, long nowTicks) {
        if (request.isCompleted()) {
            return;
        }
        request.complete();
        long retryAfterTicks =
                Math.min(maxRetryAfterTicks, request.requestClass().latencyObjectiveTicks() / 2);
        if (RetryPolicy.clientMayRetry(request, nowTicks + retryAfterTicks)) {
            actions.reject(request.id(), retryAfterTicks, request.rejectionReason());
        } else {
            actions.fail(request.id(), request.rejectionReason());
        }
    }
}
