package cottonlock.decision;

import cottonlock.decision.Request.Attempt;
import cottonlock.decision.api.AttemptOutcome;
import cottonlock.decision.api.LoadBalancerActions;
import cottonlock.decision.api.RejectionReason;
import cottonlock.decision.api.RequestClass.Idempotency;
import cottonlock.decision.backend.Backend;
import cottonlock.decision.backend.BackendRegistry;
import cottonlock.decision.backend.CompletedAttempt;
import java.util.HashMap;
import java.util.Map;

/** Sends, and decides whether what failed may and should be sent again. */
public final class AttemptTracker extends RequestStage {
    /** Repeats of work that may have run, per attempt: more would feed an overload. */
    private static final double REPEATS = 0.1;

    /** A backend is silent when its silence has a chance of e^-8 given the gaps before. */
    private static final double SILENT = 8;

    private final LoadBalancerActions outlet;
    private final AdmissionController line;
    private final BackendRegistry fleet;
    int most;
    private final boolean mayRecall;
    final Map<Long, Request> open = new HashMap<>();
    private double repeats;

    public AttemptTracker(
            LoadBalancerActions outlet,
            AdmissionController line,
            BackendRegistry fleet,
            int most,
            boolean mayRecall) {
        this.outlet = outlet;
        this.line = line;
        this.fleet = fleet;
        this.most = most;
        this.mayRecall = mayRecall;
    }

    @Override
    void take(Request req, long now) {
        Backend b = req.candidates.get(0);
        repeats = Math.min(5, repeats + REPEATS);
        open.put(req.id, req);
        outlet.startAttempt(req.id, b.id(), req.sendByTicks());
        req.attempts.add(new Attempt(b, now));
        fleet.onAttemptSent(b, req, now);
    }

    void settled(long now, long id, int number, AttemptOutcome outcome, boolean over) {
        Request req = open.get(id);
        if (req == null || number >= req.attempts.size() || !req.attempts.get(number).inFlight) {
            return;
        }
        Attempt attempt = req.attempts.get(number);
        attempt.inFlight = false;
        attempt.neverExecuted = outcome.neverExecuted();
        req.rejectionReason = RejectionReason.of(outcome);
        fleet.onAttemptCompleted(
                new CompletedAttempt(
                        attempt.backend,
                        req,
                        attempt.sentAtTicks,
                        attempt.backendWasSilent,
                        outcome),
                now);
        // In the batch after a standstill, times tell of the balancer and not of the backends.
        if (!fleet.isResumingFromStall(now)
                && outcome != AttemptOutcome.CANCELLED
                && outcome != AttemptOutcome.NOT_SENT) {
            line.lanes[req.tenant].learn(
                    outcome, now - attempt.sentAtTicks, req.requestClass.latencyObjectiveTicks());
        }
        boolean wasEnded = req.completed;
        req.completed |= over;
        if (!req.hasAttemptInFlight()) {
            open.remove(id);
        }
        if (!req.completed && !req.hasAttemptInFlight() && mayRepeat(req, outcome, now)) {
            before.before.take(req, now);
        } else if (req.completed ? !wasEnded : !req.hasAttemptInFlight()) {
            before.back(req, now);
        }
    }

    private boolean mayRepeat(Request req, AttemptOutcome last, long now) {
        if (req.attempts.size() >= most || now >= req.objectiveDeadlineTicks) {
            return false;
        }
        boolean ran = req.firstPossiblyExecuted() != null;
        if (!ran
                && !(last == AttemptOutcome.REJECTED
                        && fleet.topology().loadBalancerCount() > 2 * fleet.ready().size())) {
            return true;
        }
        boolean may =
                (!ran || req.requestClass.idempotency() != Idempotency.NOT_IDEMPOTENT)
                        && repeats >= 1;
        repeats -= may ? 1 : 0;
        return may;
    }

    void left(long now, long id) {
        Request req = open.get(id);
        if (req != null && !req.completed) {
            req.completed = true;
            before.back(req, now);
        }
    }

    /**
     * Frees the room of what is held by backends gone silent, and sends again elsewhere what may
     * be.
     */
    void rescue(long now) {
        long silent =
                fleet.all().stream()
                        .filter(b -> fleet.outliers().silenceScore(b, now) >= SILENT)
                        .count();
        // Where most are silent the fault is not theirs alone, and sending again would feed it.
        boolean few = silent * 2 <= fleet.ready().size();
        for (Backend b : fleet.all()) {
            boolean isSilent = fleet.outliers().silenceScore(b, now) >= SILENT;
            for (long id : b.requestIdsInFlight()) {
                Request req = open.get(id);
                Attempt attempt = req.lastAttempt();
                // Work stuck at backends that are lost filled the room, and all else was turned
                // away.
                if (isSilent || fleet.outliers().isOverdue(req, now - attempt.sentAtTicks, now)) {
                    line.release(req);
                }
                if (isSilent && !attempt.backendWasSilent) {
                    attempt.backendWasSilent = true;
                    fleet.onSilenceDetected(b, now);
                    if (mayRecall
                            && !req.completed
                            && attempt.cancellable
                            && now < req.objectiveDeadlineTicks
                            && (few || repeats >= 1)
                            && req.requestClass.idempotency() == Idempotency.IDEMPOTENT
                            && req.attempts.size() < most) {
                        attempt.cancellable = false;
                        repeats += few ? 1 : 0;
                        outlet.cancelAttempt(req.id, req.attempts.size() - 1);
                    }
                }
            }
        }
    }
}
