package cottonlock.decision.request;

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
public final class Request implements BackendRequest {
    /** The part of the deduplication window, in tenths, within which a repeat must be written. */
    private static final int WINDOW_TENTHS_TO_SEND = 9;

    private final long id;
    private final RequestClass requestClass;
    private final int maxAttempts;
    private final int tenant;
    private final long estimatedWorkTicks;
    private long deadlineTicks;
    private long objectiveDeadlineTicks;

    /** The attempts made, in order; an attempt's index is its number. */
    private final List<Attempt> attempts = new ArrayList<>(1);

    private boolean overQuota;
    private RejectionReason rejectionReason = RejectionReason.NO_CAPACITY;
    private boolean holdsCapacity;
    private long admittedAtTicks;
    private boolean completed;
    private long queuedAtTicks;
    private List<Backend> candidates = List.of();

    /**
     * A request without attempts.
     *
     * @param arrivedAtTicks when it arrived, which is earlier than when it was read if this process
     *     was stalled
     */
    public Request(RequestArrival arrival, long arrivedAtTicks, long deadlineTicks) {
        this.id = arrival.id();
        this.requestClass = arrival.requestClass();
        this.maxAttempts = arrival.maxAttempts();
        this.tenant = arrival.tenant();
        this.estimatedWorkTicks = arrival.estimatedWorkTicks();
        this.deadlineTicks = deadlineTicks;
        this.objectiveDeadlineTicks =
                Math.min(deadlineTicks, arrivedAtTicks + requestClass.latencyObjectiveTicks());
    }

    @Override
    public long id() {
        return id;
    }

    @Override
    public RequestClass requestClass() {
        return requestClass;
    }

    @Override
    public int tenant() {
        return tenant;
    }

    /** The maximum number of attempts, 1 or more. */
    public int maxAttempts() {
        return maxAttempts;
    }

    /** The estimated work, the same for each retry by the client; 0 if unknown. */
    public long estimatedWorkTicks() {
        return estimatedWorkTicks;
    }

    /** When the client stops waiting. */
    public long deadlineTicks() {
        return deadlineTicks;
    }

    /** When the latency objective ends, at the latest the deadline. */
    public long objectiveDeadlineTicks() {
        return objectiveDeadlineTicks;
    }

    /** Bounds the deadline, and the end of the latency objective, by this time. */
    public void limitDeadline(long latestTicks) {
        deadlineTicks = Math.min(deadlineTicks, latestTicks);
        objectiveDeadlineTicks = Math.min(objectiveDeadlineTicks, latestTicks);
    }

    /** Whether the tenant had used up its quota when the request arrived. */
    public boolean isOverQuota() {
        return overQuota;
    }

    /** Records that the tenant had used up its quota. */
    public void markOverQuota() {
        overQuota = true;
    }

    /** The reason to report if the request ended now. */
    public RejectionReason rejectionReason() {
        return rejectionReason;
    }

    /** Sets the reason to report if the request ended now. */
    public void setRejectionReason(RejectionReason reason) {
        rejectionReason = reason;
    }

    /** When the request was queued for capacity; 0 if it never was. */
    public long queuedAtTicks() {
        return queuedAtTicks;
    }

    /** Records that the request is queued for capacity. */
    public void onQueued(long nowTicks) {
        queuedAtTicks = nowTicks;
    }

    /** When the request was admitted; 0 before. */
    public long admittedAtTicks() {
        return admittedAtTicks;
    }

    /** Whether admission control counts the request against its limit. */
    public boolean holdsCapacity() {
        return holdsCapacity;
    }

    /** Records that the request is admitted and counts against the limit. */
    public void onAdmitted(long nowTicks) {
        holdsCapacity = true;
        admittedAtTicks = nowTicks;
    }

    /** Records that the request no longer counts against the limit. */
    public void onCapacityReleased() {
        holdsCapacity = false;
    }

    /** Whether the client has its final response, or has disconnected. */
    public boolean isCompleted() {
        return completed;
    }

    /** Records that the client has its final response, or has disconnected. */
    public void complete() {
        completed = true;
    }

    /** The backends to choose from for the next attempt. */
    public List<Backend> candidates() {
        return candidates;
    }

    /** Sets the backends to choose from for the next attempt. */
    public void setCandidates(List<Backend> backends) {
        candidates = backends;
    }

    /** Records an attempt that is being sent. */
    public void addAttempt(Backend backend, long nowTicks) {
        attempts.add(new Attempt(backend, nowTicks));
    }

    /** The number of attempts made. */
    public int attemptCount() {
        return attempts.size();
    }

    /** The attempt with this number, from 0; it must have been made. */
    public Attempt attempt(int number) {
        return attempts.get(number);
    }

    /** The latest attempt; at least one must have been made. */
    public Attempt lastAttempt() {
        return attempts.get(attempts.size() - 1);
    }

    @Override
    public long lastSentAtTicks() {
        return lastAttempt().sentAtTicks();
    }

    /** Whether any attempt has no outcome yet. */
    public boolean hasAttemptInFlight() {
        for (Attempt attempt : attempts) {
            if (attempt.isInFlight()) {
                return true;
            }
        }
        return false;
    }

    @Override
    public boolean hasTried(Backend backend) {
        for (Attempt attempt : attempts) {
            if (attempt.backend() == backend) {
                return true;
            }
        }
        return false;
    }

    /** The first attempt that may have been executed, in flight or not; null if there is none. */
    public Attempt firstPossiblyExecuted() {
        for (Attempt attempt : attempts) {
            if (!attempt.isNeverExecuted()) {
                return attempt;
            }
        }
        return null;
    }

    @Override
    public Backend firstPossibleExecutor() {
        Attempt executed = firstPossiblyExecuted();
        return executed == null ? null : executed.backend();
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
        return Math.min(deadlineTicks, executed.sentAtTicks() + windowTicks);
    }
}
