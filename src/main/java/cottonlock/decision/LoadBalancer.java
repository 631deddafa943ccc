package cottonlock.decision;

import cottonlock.decision.api.AttemptOutcome;
import cottonlock.decision.api.Endpoint;
import cottonlock.decision.api.LoadBalancerActions;
import cottonlock.decision.api.RequestClass;
import cottonlock.decision.backend.BackendRegistry;
import java.util.List;

/**
 * The decision module: everything that one balancer decides, and nothing else.
 *
 * <p>One thread tells it what happened through the public methods, each with the time in whole
 * tenths of a millisecond, never going back. It answers during the call through {@link
 * LoadBalancerActions}; it does no input or output and reads no clock. A request passes the stages
 * RequestIntake, AdmissionController, LaneSelector, BackendPicker and AttemptTracker. Each passes
 * it on or sends it back; what comes back passes them the other way. Fleet stands beside them and
 * knows the backends. docs/design.md tells which decision comes from where.
 */
public final class LoadBalancer {
    /** How often silence and the list are looked at: well under any due time, cheap in CPU. */
    static final long TICK = 250;

    /**
     * Called so much too late, the balancer has stood still: 100 ms come with a busy core alone.
     */
    private static final long STILL = 2_000;

    private long wakeAt = Long.MAX_VALUE - STILL;
    private final LoadBalancerActions outlet;
    private final RequestIntake intake;
    private final AdmissionController line;
    private final AttemptTracker attempts;
    private final BackendRegistry fleet;

    /** Joins the stages to a chain; each has been given its own settings. */
    public LoadBalancer(
            LoadBalancerActions outlet,
            RequestIntake intake,
            AdmissionController line,
            LaneSelector lane,
            BackendPicker pick,
            AttemptTracker attempts,
            BackendRegistry fleet) {
        this.outlet = outlet;
        this.intake = intake;
        this.line = line;
        this.attempts = attempts;
        this.fleet = fleet;
        intake.join(null, line);
        line.join(intake, lane);
        lane.join(line, pick);
        pick.join(lane, attempts);
        attempts.join(pick, null);
    }

    /** The balancer starts; the list that it last held follows through {@link #onEndpointList}. */
    public void start(long now) {
        wakeAt = now + TICK;
        outlet.scheduleTimer(wakeAt);
    }

    /**
     * After a standstill of its own the balancer doubts its clock: what waited is no silence of
     * others.
     */
    private void doubtClock(long now) {
        if (now > wakeAt + STILL) {
            fleet.onStall(now, now - wakeAt);
            wakeAt = now;
        }
    }

    /** Other categories, by number, and most attempts hold for what comes from now on. */
    public void reconfigure(List<RequestClass> categories, int most) {
        intake.retune(categories);
        attempts.most = most;
    }

    /**
     * A request has come; its client waits for {@code patience}. Hint: its work, 0 where not told.
     */
    public void onRequest(
            long now,
            long id,
            int category,
            int tenant,
            long patience,
            boolean repeated,
            long hint) {
        doubtClock(now);
        long stood = fleet.stallTicks(now);
        intake.arrive(now, id, category, tenant, patience, repeated, hint, stood);
    }

    /** An attempt has ended; {@code over} tells that the request has had its final answer. */
    public void onAttemptCompleted(
            long now, long id, int attempt, AttemptOutcome outcome, boolean over) {
        doubtClock(now);
        attempts.settled(now, id, attempt, outcome, over);
    }

    /** The answer to a streamed request has begun: it belongs to the client from now on. */
    public void onResponseStarted(long now, long id, int attempt) {
        Request req = attempts.open.get(id);
        if (req != null && attempt < req.attempts.size()) {
            req.attempts.get(attempt).cancellable = false;
        }
    }

    /** The client of a request has left, so nothing more is owed. */
    public void onClientDisconnected(long now, long id) {
        line.waiting.removeIf(req -> req.id == id);
        attempts.left(now, id);
    }

    /** The balancer leaves: what it holds now is over by then, with its final answer. */
    public void limitDeadlines(long latest) {
        line.waiting.forEach(req -> req.limitDeadline(latest));
        attempts.open.values().forEach(req -> req.limitDeadline(latest));
    }

    /**
     * News of the list of backends, whole or only what changed; cached: as this balancer last held
     * it.
     */
    public void onEndpointList(long now, List<Endpoint> members, boolean whole, boolean cached) {
        fleet.onEndpointList(now, members, whole, cached);
    }

    /** Whether a backend may get work, also one that has gone from a list that binds nobody. */
    public boolean mayUse(String id) {
        return fleet.isReady(id);
    }

    /** A call for the list failed, or its changes no longer come. */
    public void onEndpointListFailed(long now) {
        fleet.onEndpointListFailed(now);
    }

    /** How many of the ready backends get next to nothing now, as they are in doubt. */
    public long avoidedBackendCount(long now) {
        return fleet.countAvoided(now);
    }

    /**
     * Another balancer of the tier has sent what it told by {@link
     * LoadBalancerActions#broadcastToPeers}.
     */
    public void onPeerMessage(long now, byte[] message) {
        fleet.onPeerMessage(now, message);
    }

    /** The time asked for by {@link LoadBalancerActions#scheduleTimer} has come. */
    public void onTimer(long now) {
        doubtClock(now);
        fleet.maintain(now);
        attempts.rescue(now);
        fleet.reportLossesToPeers();
        line.tidy(now);
        wakeAt = now + TICK;
        outlet.scheduleTimer(wakeAt);
    }
}
