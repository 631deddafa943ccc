package cottonlock.decision;

import cottonlock.decision.admission.AdmissionController;
import cottonlock.decision.api.AttemptOutcome;
import cottonlock.decision.api.Endpoint;
import cottonlock.decision.api.LoadBalancerActions;
import cottonlock.decision.backend.BackendRegistry;
import cottonlock.decision.request.RequestArrival;
import cottonlock.decision.request.TimerPeriod;
import cottonlock.decision.retry.AttemptTracker;
import cottonlock.decision.routing.BackendPicker;
import cottonlock.decision.routing.LaneSelector;
import java.util.List;

/**
 * All decisions of one load balancer: which requests are admitted, to which backend each attempt
 * goes, and what is retried, rejected or failed.
 *
 * <p>Its host reports events through the {@code on...} methods, from a single thread and with times
 * in {@link cottonlock.core.Ticks} that never decrease. It acts through {@link LoadBalancerActions}
 * during the call. It does no input or output, reads no clock, and draws random numbers only from
 * the generators it was given.
 *
 * <p>A request passes {@link RequestIntake}, {@link AdmissionController}, {@link LaneSelector},
 * {@link BackendPicker} and {@link AttemptTracker}. A retry starts again at the lane selector. A
 * request that needs no further attempt returns to the admission controller, which releases its
 * capacity, and ends at the intake. {@link BackendRegistry} holds the state of the backends.
 */
public final class LoadBalancer {
    /** A timer event that is later than this, 0.2 s, shows that this process was stalled. */
    private static final long STALL_THRESHOLD_TICKS = 2_000;

    private final LoadBalancerActions actions;
    private final RequestIntake intake;
    private final AdmissionController admission;
    private final AttemptTracker attempts;
    private final BackendRegistry registry;

    /** When the next timer event is due; far in the future before the start. */
    private long timerDueTicks = Long.MAX_VALUE - STALL_THRESHOLD_TICKS;

    /** Connects the stages, each of which is already configured. */
    public LoadBalancer(
            LoadBalancerActions actions,
            RequestIntake intake,
            AdmissionController admission,
            LaneSelector laneSelector,
            BackendPicker picker,
            AttemptTracker attempts,
            BackendRegistry registry) {
        this.actions = actions;
        this.intake = intake;
        this.admission = admission;
        this.attempts = attempts;
        this.registry = registry;
        intake.connect(admission);
        admission.connect(laneSelector, intake::finish);
        laneSelector.connect(picker);
        picker.connect(attempts);
        attempts.connect(laneSelector);
    }

    /** Starts the timer; a cached endpoint list may follow through {@link #onEndpointList}. */
    public void start(long nowTicks) {
        scheduleTimer(nowTicks);
    }

    private void scheduleTimer(long nowTicks) {
        timerDueTicks = nowTicks + TimerPeriod.TICKS;
        actions.scheduleTimer(timerDueTicks);
    }

    /**
     * Detects that this process was stalled. It handled no events meanwhile, so silence and latency
     * of that time say nothing about the backends.
     */
    private void detectStall(long nowTicks) {
        if (nowTicks > timerDueTicks + STALL_THRESHOLD_TICKS) {
            registry.onStall(nowTicks, nowTicks - timerDueTicks);
            timerDueTicks = nowTicks;
        }
    }

    /** A request has arrived. */
    public void onRequest(long nowTicks, RequestArrival arrival) {
        detectStall(nowTicks);
        intake.onRequest(arrival, registry.stallTicks(nowTicks), nowTicks);
    }

    /**
     * An attempt has ended.
     *
     * @param attemptNumber the number of the attempt within its request, from 0
     * @param requestCompleted whether the client has its final response
     */
    public void onAttemptCompleted(
            long nowTicks,
            long requestId,
            int attemptNumber,
            AttemptOutcome outcome,
            boolean requestCompleted) {
        detectStall(nowTicks);
        attempts.onAttemptCompleted(requestId, attemptNumber, outcome, requestCompleted, nowTicks);
    }

    /**
     * A backend has begun to respond to an attempt. What it has written may be held back for a
     * while; its outcome follows.
     */
    public void onResponseBegun(long nowTicks, long requestId, int attemptNumber) {
        detectStall(nowTicks);
        attempts.onResponseBegun(requestId, attemptNumber, nowTicks);
    }

    /** The response to an attempt has begun to reach the client, so it must not be cancelled. */
    public void onResponseStarted(long nowTicks, long requestId, int attemptNumber) {
        attempts.onResponseStarted(requestId, attemptNumber);
    }

    /** The client of a request has disconnected and needs no response. */
    public void onClientDisconnected(long nowTicks, long requestId) {
        admission.onClientDisconnected(requestId);
        attempts.onClientDisconnected(requestId, nowTicks);
    }

    /** Bounds the deadlines of all requests in progress by this time, for a shutdown. */
    public void limitDeadlines(long latestTicks) {
        admission.limitDeadlines(latestTicks);
        attempts.limitDeadlines(latestTicks);
    }

    /**
     * The endpoint list, or changes to it, have arrived.
     *
     * @param endpoints the listed endpoints; for changes, only those that differ
     * @param complete whether endpoints that are missing here have left the list
     * @param cached whether the list was kept from an earlier run and may be out of date
     */
    public void onEndpointList(
            long nowTicks, List<Endpoint> endpoints, boolean complete, boolean cached) {
        registry.onEndpointList(nowTicks, endpoints, complete, cached);
    }

    /**
     * Whether a backend may get requests, including one that left the list where removal from the
     * list is not binding.
     */
    public boolean mayUse(String backendId) {
        return registry.isReady(backendId);
    }

    /** The endpoint list could not be fetched, or its watch has ended. */
    public void onEndpointListFailed(long nowTicks) {
        registry.onEndpointListFailed(nowTicks);
    }

    /** How many ready backends get almost no requests now because they are suspected outliers. */
    public long avoidedBackendCount(long nowTicks) {
        return registry.countAvoided(nowTicks);
    }

    /**
     * A message has arrived that another load balancer sent with {@link
     * LoadBalancerActions#broadcastToPeers}.
     */
    public void onPeerMessage(long nowTicks, byte[] message) {
        registry.onPeerMessage(nowTicks, message);
    }

    /** The time given to {@link LoadBalancerActions#scheduleTimer} has been reached. */
    public void onTimer(long nowTicks) {
        detectStall(nowTicks);
        registry.maintain(nowTicks);
        attempts.checkSilentBackends(nowTicks);
        registry.reportLossesToPeers();
        admission.onTimer(nowTicks);
        scheduleTimer(nowTicks);
    }
}
