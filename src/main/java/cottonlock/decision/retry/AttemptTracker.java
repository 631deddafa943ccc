package cottonlock.decision.retry;

import cottonlock.decision.admission.AdmissionController;
import cottonlock.decision.api.AttemptOutcome;
import cottonlock.decision.api.LoadBalancerActions;
import cottonlock.decision.api.RejectionReason;
import cottonlock.decision.backend.Backend;
import cottonlock.decision.backend.BackendRegistry;
import cottonlock.decision.backend.CompletedAttempt;
import cottonlock.decision.request.Attempt;
import cottonlock.decision.request.Request;
import cottonlock.decision.request.RequestStage;
import java.util.HashMap;
import java.util.Map;

/**
 * Starts attempts, follows them to their outcome, and retries or returns their requests as {@link
 * RetryPolicy} says. Owned by the load balancer's thread.
 */
public final class AttemptTracker implements RequestStage {
    /** The silence score from which a backend counts as silent: a probability of e^-8. */
    private static final double SILENCE_THRESHOLD = 8;

    private final LoadBalancerActions actions;
    private final AdmissionController admission;
    private final BackendRegistry registry;
    private final RetryPolicy retryPolicy;

    /** The requests with an attempt in flight, by id. */
    private final Map<Long, Request> requests = new HashMap<>();

    /** Assigned once, before the first request. */
    private RequestStage retryStage;

    /**
     * A tracker without requests.
     *
     * @param cancellationAllowed whether attempts in flight may be cancelled
     */
    public AttemptTracker(
            LoadBalancerActions actions,
            AdmissionController admission,
            BackendRegistry registry,
            boolean cancellationAllowed) {
        this.actions = actions;
        this.admission = admission;
        this.registry = registry;
        this.retryPolicy = new RetryPolicy(registry, registry.topology(), cancellationAllowed);
    }

    /** Connects the stage that handles retries; called once, before the first request. */
    public void connect(RequestStage stageForRetries) {
        retryStage = stageForRetries;
    }

    /** Starts an attempt at the only candidate. */
    @Override
    public void process(Request request, long nowTicks) {
        Backend backend = request.candidates().get(0);
        retryPolicy.onAttempt();
        requests.put(request.id(), request);
        actions.startAttempt(request.id(), backend.id(), request.sendByTicks());
        request.addAttempt(backend, nowTicks);
        registry.onAttemptSent(backend, request, nowTicks);
    }

    /**
     * Records an attempt's outcome; an attempt that is unknown or has ended is ignored.
     *
     * @param completed whether the request has its final response
     */
    public void onAttemptCompleted(
            long requestId,
            int attemptNumber,
            AttemptOutcome outcome,
            boolean completed,
            long nowTicks) {
        Request request = requests.get(requestId);
        if (request == null
                || attemptNumber >= request.attemptCount()
                || !request.attempt(attemptNumber).isInFlight()) {
            return;
        }
        recordOutcome(request, request.attempt(attemptNumber), outcome, nowTicks);
        boolean wasCompleted = request.isCompleted();
        if (completed) {
            request.complete();
        }
        boolean inFlight = request.hasAttemptInFlight();
        if (!inFlight) {
            requests.remove(requestId);
        }
        if (request.isCompleted()) {
            if (!wasCompleted) {
                admission.onRequestReturned(request, nowTicks);
            }
        } else if (!inFlight) {
            retryOrReturn(request, outcome, nowTicks);
        }
    }

    private void recordOutcome(
            Request request, Attempt attempt, AttemptOutcome outcome, long nowTicks) {
        attempt.complete(outcome);
        request.setRejectionReason(RejectionReason.of(outcome));
        registry.onAttemptCompleted(
                new CompletedAttempt(
                        attempt.backend(),
                        request,
                        attempt.latencyTicks(nowTicks),
                        attempt.isResponding(),
                        attempt.backendWasSilent(),
                        outcome),
                nowTicks);
        boolean answeredOrFailed =
                outcome != AttemptOutcome.CANCELLED && outcome != AttemptOutcome.NOT_SENT;
        // Latencies measured right after a stall of this process include the stall.
        if (!registry.isResumingFromStall(nowTicks) && answeredOrFailed) {
            admission.onAttemptCompleted(request, outcome, attempt.latencyTicks(nowTicks));
        }
    }

    private void retryOrReturn(Request request, AttemptOutcome lastOutcome, long nowTicks) {
        if (retryPolicy.tryRetry(request, lastOutcome, nowTicks)) {
            retryStage.process(request, nowTicks);
        } else {
            admission.onRequestReturned(request, nowTicks);
        }
    }

    /** A backend has begun to respond to an attempt: neither is silent. */
    public void onResponseBegun(long requestId, int attemptNumber, long nowTicks) {
        Request request = requests.get(requestId);
        if (request == null || attemptNumber >= request.attemptCount()) {
            return;
        }
        Attempt attempt = request.attempt(attemptNumber);
        if (attempt.isInFlight() && !attempt.isResponding() && !attempt.backendWasSilent()) {
            attempt.onResponseBegun(nowTicks);
            registry.onResponseBegun(attempt.backend(), nowTicks);
        }
    }

    /** Makes an attempt whose response has begun to reach the client uncancellable. */
    public void onResponseStarted(long requestId, int attemptNumber) {
        Request request = requests.get(requestId);
        if (request != null && attemptNumber < request.attemptCount()) {
            request.attempt(attemptNumber).forbidCancelling();
        }
    }

    /** Ends a request whose client has disconnected; its attempts stay in flight. */
    public void onClientDisconnected(long requestId, long nowTicks) {
        Request request = requests.get(requestId);
        if (request != null && !request.isCompleted()) {
            request.complete();
            admission.onRequestReturned(request, nowTicks);
        }
    }

    /** Bounds the deadlines of all requests in flight by this time. */
    public void limitDeadlines(long latestTicks) {
        requests.values().forEach(request -> request.limitDeadline(latestTicks));
    }

    /**
     * Releases the capacity of requests at backends that are silent or far too slow, and cancels
     * attempts at silent backends that may be retried at another one.
     */
    public void checkSilentBackends(long nowTicks) {
        long silentBackends = registry.all().stream().filter(b -> isSilent(b, nowTicks)).count();
        // If most are silent, the backends are probably not the cause, and retries would add load.
        boolean fewBackendsSilent = silentBackends * 2 <= registry.ready().size();
        for (Backend backend : registry.all()) {
            boolean silent = isSilent(backend, nowTicks);
            for (long requestId : backend.requestIdsInFlight()) {
                checkAttempt(requests.get(requestId), silent, fewBackendsSilent, nowTicks);
            }
        }
    }

    private boolean isSilent(Backend backend, long nowTicks) {
        return registry.outliers().silenceScore(backend, nowTicks) >= SILENCE_THRESHOLD;
    }

    private void checkAttempt(
            Request request, boolean backendSilent, boolean fewBackendsSilent, long nowTicks) {
        Attempt attempt = request.lastAttempt();
        if (backendSilent
                || registry.outliers()
                        .isOverdue(request, nowTicks - attempt.sentAtTicks(), nowTicks)) {
            admission.releaseCapacity(request);
        }
        if (backendSilent && !attempt.backendWasSilent() && !attempt.isResponding()) {
            attempt.onBackendSilent();
            registry.onSilenceDetected(attempt.backend(), nowTicks);
            if (retryPolicy.tryCancel(request, fewBackendsSilent, nowTicks)) {
                attempt.forbidCancelling();
                actions.cancelAttempt(request.id(), request.attemptCount() - 1);
            }
        }
    }
}
