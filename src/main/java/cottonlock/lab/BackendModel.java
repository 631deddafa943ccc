package cottonlock.lab;

import cottonlock.core.Deterministic;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * What a backend can do, in time that it is given: cores, a queue, a cold start that warms, and a
 * fall when it is pushed too far while cold. Times are nanoseconds; work is core nanoseconds at
 * speed 1.
 *
 * @param <J> a job
 */
@Deterministic
final class BackendModel<J> {
    /** What becomes of a job that comes. */
    enum Admission {
        STARTED,
        QUEUED,
        REJECTED
    }

    private record OfferedWork(long timeNanos, double work) {}

    private final int cores;
    private final double speed;
    private final int queueLimit;
    private final double coldShare;
    private final long coldNanos;
    private final double overloadFactor;
    private final long overloadWindowNanos;
    private final Deque<J> queuedJobs = new ArrayDeque<>();
    private final Deque<OfferedWork> recentWork = new ArrayDeque<>();
    private double recentWorkSum;
    private int busy;
    private long startedAt = Long.MIN_VALUE / 2;

    /** How many times slower than usual it works just now. */
    double slowdown = 1;

    BackendModel(
            int cores,
            double speed,
            int queueLimit,
            double coldShare,
            long coldNanos,
            double overloadFactor,
            long overloadWindowNanos) {
        this.cores = cores;
        this.speed = speed;
        this.queueLimit = queueLimit;
        this.coldShare = coldShare;
        this.coldNanos = coldNanos;
        this.overloadFactor = overloadFactor;
        this.overloadWindowNanos = overloadWindowNanos;
    }

    /** A new process, cold and idle. */
    void start(long now) {
        startedAt = now;
        queuedJobs.clear();
        recentWork.clear();
        recentWorkSum = 0;
        busy = 0;
    }

    /** The part of its capacity that it has: the cold share at the start, growing evenly to 1. */
    double capacityShare(long now) {
        return now - startedAt >= coldNanos ? 1 : coldShare + (1 - coldShare) * (now - startedAt) / coldNanos;
    }

    /**
     * Notes work that was sent to it, whether or not it can take it; true when that pushes it over:
     * in the last {@code fall}, while it was cold, more came than the multiple of what it can do at
     * this moment.
     */
    boolean isOverloadedCold(long now, double work) {
        if (now - startedAt >= coldNanos) {
            return false;
        }
        recentWork.add(new OfferedWork(now, work));
        recentWorkSum += work;
        while (recentWork.peek().timeNanos <= now - overloadWindowNanos) {
            recentWorkSum -= recentWork.poll().work;
        }
        return recentWorkSum > overloadFactor * cores * speed * capacityShare(now) * overloadWindowNanos;
    }

    /** Takes a job, puts it in the queue, or turns it away. */
    Admission admit(J job) {
        if (busy < cores) {
            busy++;
            return Admission.STARTED;
        }
        if (queuedJobs.size() >= queueLimit) {
            return Admission.REJECTED;
        }
        queuedJobs.add(job);
        return Admission.QUEUED;
    }

    /** How long a core needs for so much work that it begins now. */
    long serviceNanos(long now, double work) {
        return (long) (work * slowdown / (speed * capacityShare(now)));
    }

    /** A core has become free; the job that it begins next, or null. */
    J onCoreFree() {
        J job = queuedJobs.poll();
        if (job == null) {
            busy--;
        }
        return job;
    }

    /** Takes a job out of the queue whose sender has gone. */
    boolean removeQueued(J job) {
        return queuedJobs.remove(job);
    }

    int busy() {
        return busy;
    }

    int queued() {
        return queuedJobs.size();
    }

    int cores() {
        return cores;
    }
}
