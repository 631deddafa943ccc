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
    enum Taken {
        BEGINS,
        WAITS,
        FULL
    }

    private record Offer(long at, double work) {}

    private final int cores;
    private final double speed;
    private final int queue;
    private final double coldShare;
    private final long cold;
    private final double fallMultiple;
    private final long fall;
    private final Deque<J> waiting = new ArrayDeque<>();
    private final Deque<Offer> offers = new ArrayDeque<>();
    private double offered;
    private int busy;
    private long started = Long.MIN_VALUE / 2;

    /** How many times slower than usual it works just now. */
    double slow = 1;

    BackendModel(
            int cores,
            double speed,
            int queue,
            double coldShare,
            long cold,
            double fallMultiple,
            long fall) {
        this.cores = cores;
        this.speed = speed;
        this.queue = queue;
        this.coldShare = coldShare;
        this.cold = cold;
        this.fallMultiple = fallMultiple;
        this.fall = fall;
    }

    /** A new process, cold and idle. */
    void start(long now) {
        started = now;
        waiting.clear();
        offers.clear();
        offered = 0;
        busy = 0;
    }

    /** The part of its capacity that it has: the cold share at the start, growing evenly to 1. */
    double warmth(long now) {
        return now - started >= cold ? 1 : coldShare + (1 - coldShare) * (now - started) / cold;
    }

    /**
     * Notes work that was sent to it, whether or not it can take it; true when that pushes it over:
     * in the last {@code fall}, while it was cold, more came than the multiple of what it can do at
     * this moment.
     */
    boolean pushedOver(long now, double work) {
        if (now - started >= cold) {
            return false;
        }
        offers.add(new Offer(now, work));
        offered += work;
        while (offers.peek().at <= now - fall) {
            offered -= offers.poll().work;
        }
        return offered > fallMultiple * cores * speed * warmth(now) * fall;
    }

    /** Takes a job, puts it in the queue, or turns it away. */
    Taken take(J job) {
        if (busy < cores) {
            busy++;
            return Taken.BEGINS;
        }
        if (waiting.size() >= queue) {
            return Taken.FULL;
        }
        waiting.add(job);
        return Taken.WAITS;
    }

    /** How long a core needs for so much work that it begins now. */
    long time(long now, double work) {
        return (long) (work * slow / (speed * warmth(now)));
    }

    /** A core has become free; the job that it begins next, or null. */
    J next() {
        J job = waiting.poll();
        if (job == null) {
            busy--;
        }
        return job;
    }

    /** Takes a job out of the queue whose sender has gone. */
    boolean drop(J job) {
        return waiting.remove(job);
    }

    int busy() {
        return busy;
    }

    int waiting() {
        return waiting.size();
    }

    int cores() {
        return cores;
    }
}
