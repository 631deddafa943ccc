package cottonlock.decision;

import cottonlock.decision.api.RejectionReason;
import cottonlock.decision.api.RequestClass;
import cottonlock.decision.api.RequestClass.Idempotency;
import cottonlock.decision.backend.Backend;
import cottonlock.decision.backend.BackendRequest;
import java.util.ArrayList;
import java.util.List;

/**
 * A request from its arrival to its last outcome, with the attempts made for it. Owned by the load
 * balancer's thread. Times are in {@link cottonlock.core.Ticks}.
 */
final class Request implements BackendRequest {
    /** Tenths of the deduplication window within which a repeat must have been written. */
    private static final int WINDOW_TENTHS_TO_SEND = 9;

    final long id;
    final RequestClass requestClass;
    final int tenant;

    /** Whether the client has sent this request before. */
    final boolean clientRetry;

    /** When the request arrived, earlier than it was read if this process was stalled. */
    final long arrivedAtTicks;

    /** When the client stops waiting. */
    long deadlineTicks;

    /** The estimated work, the same for each retry by the client; 0 if unknown. */
    final long estimatedWorkTicks;

    /** When the latency objective ends, the deadline at the latest. */
    long objectiveDeadlineTicks;

    /** The attempts made, in order; an attempt's index is its number. */
    final List<Attempt> attempts = new ArrayList<>(1);

    /** Whether the tenant had used up its quota when the request arrived. */
    boolean overQuota;

    /** The reason to report if the request ended now. */
    RejectionReason rejectionReason = RejectionReason.NO_CAPACITY;

    /** Whether admission control counts the request against its limit. */
    boolean holdsCapacity;

    /** When the request was last admitted. */
    long admittedAtTicks;

    /** Whether the client has its final response, or has disconnected. */
    boolean completed;

    /** When the request was queued for capacity, while it waits there. */
    long queuedAtTicks;

    /** The backends that lane selection leaves for the backend picker. */
    List<Backend> candidates = List.of();

    Request(
            long id,
            RequestClass requestClass,
            int tenant,
            boolean clientRetry,
            long arrivedAtTicks,
            long deadlineTicks,
            long estimatedWorkTicks) {
        this.id = id;
        this.requestClass = requestClass;
        this.tenant = tenant;
        this.clientRetry = clientRetry;
        this.arrivedAtTicks = arrivedAtTicks;
        this.deadlineTicks = deadlineTicks;
        this.estimatedWorkTicks = estimatedWorkTicks;
        this.objectiveDeadlineTicks =
                Math.min(deadlineTicks, arrivedAtTicks + requestClass.latencyObjectiveTicks());
    }

    /** Moves the deadline, and the end of the latency objective, forward to this time. */
    void limitDeadline(long latestTicks) {
        deadlineTicks = Math.min(deadlineTicks, latestTicks);
        objectiveDeadlineTicks = Math.min(objectiveDeadlineTicks, latestTicks);
    }

    /** One attempt of the request at one backend. */
    static final class Attempt {
        final Backend backend;
        final long sentAtTicks;

        /** Whether its outcome is still open. */
        boolean inFlight = true;

        /** False once it was cancelled, or once its response has begun to reach the client. */
        boolean cancellable = true;

        /** Whether its backend was found silent while it was in flight. */
        boolean backendWasSilent;

        /** Whether its outcome proves that the backend did not execute it. */
        boolean neverExecuted;

        Attempt(Backend backend, long sentAtTicks) {
            this.backend = backend;
            this.sentAtTicks = sentAtTicks;
        }
    }

    /**
     * The time before which the next attempt must be written completely. After an attempt that may
     * have been executed, a repeat with an idempotency key must reach a backend within the
     * deduplication window; a tenth of the window remains for transmission.
     */
    @Override
    public long sendByTicks() {
        Attempt executed = firstPossiblyExecuted();
        if (executed == null || requestClass.idempotency() == Idempotency.IDEMPOTENT) {
            return deadlineTicks;
        }
        long windowTicks = requestClass.deduplicationWindowTicks() * WINDOW_TENTHS_TO_SEND / 10;
        return Math.min(deadlineTicks, executed.sentAtTicks + windowTicks);
    }

    @Override
    public long id() {
        return id;
    }

    @Override
    public int tenant() {
        return tenant;
    }

    @Override
    public RequestClass requestClass() {
        return requestClass;
    }

    @Override
    public long lastSentAtTicks() {
        return lastAttempt().sentAtTicks;
    }

    @Override
    public Backend firstPossibleExecutor() {
        Attempt executed = firstPossiblyExecuted();
        return executed == null ? null : executed.backend;
    }

    /** The latest attempt; at least one must have been made. */
    Attempt lastAttempt() {
        return attempts.get(attempts.size() - 1);
    }

    /** Whether an attempt at this backend has been made. */
    @Override
    public boolean hasTried(Backend backend) {
        return attempts.stream().anyMatch(attempt -> attempt.backend == backend);
    }

    /** Whether the outcome of any attempt is still open. */
    boolean hasAttemptInFlight() {
        for (Attempt attempt : attempts) {
            if (attempt.inFlight) {
                return true;
            }
        }
        return false;
    }

    /** The first attempt that may have been executed, in flight or not; null if there is none. */
    Attempt firstPossiblyExecuted() {
        for (Attempt attempt : attempts) {
            if (!attempt.neverExecuted) {
                return attempt;
            }
        }
        return null;
    }
}
