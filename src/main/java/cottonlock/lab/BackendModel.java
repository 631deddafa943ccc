package cottonlock.lab;

import cottonlock.core.Deterministic;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A model of a backend's capacity: cores, a queue, a cold start during which the capacity grows,
 * and a crash if the backend is overloaded while cold. The caller supplies the time. Times are
 * nanoseconds; work is core nanoseconds at speed 1.
 *
 * @param <J> a job
 */
@Deterministic
final class BackendModel<J> {
    /** What happens to a new job. */
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

    /** The factor by which work takes longer than usual. */
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

    /** Resets the model to a new process, cold and idle. */
    void start(long now) {
        startedAt = now;
        queuedJobs.clear();
        recentWork.clear();
        recentWorkSum = 0;
        busy = 0;
    }

    /**
     * The fraction of the full capacity that is available: the cold share at the start, growing
     * linearly to 1.
     */
    double capacityShare(long now) {
        return now - startedAt >= coldNanos
                ? 1
                : coldShare + (1 - coldShare) * (now - startedAt) / coldNanos;
    }

    /**
     * Records work that was sent to the backend, whether or not it can take it. Returns true if
     * this overloads a cold backend: the work received within the overload window exceeds the
     * overload factor times what the backend can do at its present capacity.
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
        return recentWorkSum
                > overloadFactor * cores * speed * capacityShare(now) * overloadWindowNanos;
    }

    /** Starts a job, queues it, or rejects it. */
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

    /** The time that a core needs for work that starts now. */
    long serviceNanos(long now, double work) {
        return (long) (work * slowdown / (speed * capacityShare(now)));
    }

    /** Called when a core becomes free. Returns the queued job that it starts next, or null. */
    J onCoreFree() {
        J job = queuedJobs.poll();
        if (job == null) {
            busy--;
        }
        return job;
    }

    /** Removes a job from the queue after its sender has disconnected. */
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
