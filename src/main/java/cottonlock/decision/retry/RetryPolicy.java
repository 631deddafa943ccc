package cottonlock.decision.retry;

import cottonlock.decision.api.AttemptOutcome;
import cottonlock.decision.api.DeploymentTopology;
import cottonlock.decision.api.RequestClass;
import cottonlock.decision.api.RequestClass.DeduplicationScope;
import cottonlock.decision.api.RequestClass.Idempotency;
import cottonlock.decision.backend.BackendRegistry;
import cottonlock.decision.request.Attempt;
import cottonlock.decision.request.Request;

/**
 * Decides when a request is sent again, by the load balancer or by its client, and when an attempt
 * is cancelled for a retry. Owned by the load balancer's thread.
 */
public final class RetryPolicy {
    /**
     * With more load balancers per ready backend than this, retries of rejected attempts use the
     * budget too.
     */
    private static final int MAX_LOAD_BALANCERS_PER_BACKEND = 2;

    private final BackendRegistry registry;
    private final DeploymentTopology topology;
    private final boolean cancellationAllowed;
    private final RetryBudget budget = new RetryBudget();

    /**
     * A policy with an empty budget.
     *
     * @param cancellationAllowed whether attempts in flight may be cancelled
     */
    RetryPolicy(
            BackendRegistry registry, DeploymentTopology topology, boolean cancellationAllowed) {
        this.registry = registry;
        this.topology = topology;
        this.cancellationAllowed = cancellationAllowed;
    }

    /**
     * Whether it is safe if the client sends the request again at the given time: it was not
     * executed, it is idempotent, or every backend would still recognise its idempotency key.
     */
    public static boolean clientMayRetry(Request request, long atTicks) {
        RequestClass requestClass = request.requestClass();
        Attempt executed = request.firstPossiblyExecuted();
        if (requestClass.idempotency() == Idempotency.IDEMPOTENT || executed == null) {
            return true;
        }
        return requestClass.idempotency() == Idempotency.WITH_KEY
                && requestClass.deduplicationScope() == DeduplicationScope.ALL
                && atTicks < executed.sentAtTicks() + requestClass.deduplicationWindowTicks();
    }

    /** An attempt, first or retry, is sent. */
    void onAttempt() {
        budget.onAttempt();
    }

    /**
     * Whether a request whose last attempt has ended is sent again. A retry that needs the budget
     * is subtracted from it.
     */
    boolean tryRetry(Request request, AttemptOutcome lastOutcome, long nowTicks) {
        if (!hasAttemptsAndTimeLeft(request, nowTicks)) {
            return false;
        }
        boolean possiblyExecuted = request.firstPossiblyExecuted() != null;
        if (!possiblyExecuted && !isRejectionWithFewBackends(lastOutcome)) {
            return true;
        }
        boolean safe =
                !possiblyExecuted
                        || request.requestClass().idempotency() != Idempotency.NOT_IDEMPOTENT;
        if (!safe || !budget.permitsRetry()) {
            return false;
        }
        budget.spend();
        return true;
    }

    /**
     * Where many load balancers share few backends, unlimited retries of rejected attempts would
     * overload the backends.
     */
    private boolean isRejectionWithFewBackends(AttemptOutcome lastOutcome) {
        return lastOutcome == AttemptOutcome.REJECTED
                && topology.loadBalancerCount()
                        > MAX_LOAD_BALANCERS_PER_BACKEND * registry.ready().size();
    }

    /**
     * Whether an attempt at a silent backend is cancelled, so that its request can be sent to
     * another one.
     *
     * @param fewBackendsSilent whether the backends are probably the cause; only then the retry
     *     that follows does not count against the budget
     */
    boolean tryCancel(Request request, boolean fewBackendsSilent, long nowTicks) {
        boolean cancels =
                cancellationAllowed
                        && !request.isCompleted()
                        && request.lastAttempt().isCancellable()
                        && request.requestClass().idempotency() == Idempotency.IDEMPOTENT
                        && hasAttemptsAndTimeLeft(request, nowTicks)
                        && (fewBackendsSilent || budget.permitsRetry());
        if (cancels && fewBackendsSilent) {
            budget.grant();
        }
        return cancels;
    }

    private boolean hasAttemptsAndTimeLeft(Request request, long nowTicks) {
        return request.attemptCount() < request.maxAttempts()
                && nowTicks < request.objectiveDeadlineTicks();
    }
}
