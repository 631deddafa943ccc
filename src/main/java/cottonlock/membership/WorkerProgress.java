package cottonlock.membership;

import cottonlock.core.Deterministic;

/**
 * Tracks when the thread that serves requests last made progress. A process that answers probes
 * while that thread is stalled counts as failed. Confined to the thread of its {@link Membership}.
 */
@Deterministic
final class WorkerProgress {
    private final long maxStallTicks;
    private long progressAtTicks = Long.MAX_VALUE;

    WorkerProgress(long maxStallTicks) {
        this.maxStallTicks = maxStallTicks;
    }

    void progressedAt(long ticks) {
        progressAtTicks = ticks;
    }

    /** For how long there has been no progress. */
    long stallTicks(long nowTicks) {
        return Math.max(0, nowTicks - progressAtTicks);
    }

    /** Whether there has been no progress for longer than the stall timeout. */
    boolean isStalled(long nowTicks) {
        return stallTicks(nowTicks) > maxStallTicks;
    }
}
