package cottonlock.decision;

import cottonlock.decision.api.RejectionReason;
import cottonlock.decision.api.RequestClass;
import java.util.ArrayList;
import java.util.List;

/** A request while the balancer holds it, and the attempts made for it. */
final class Request {
    final long id;
    final RequestClass category;
    final int tenant;
    final boolean repeated;
    final long arrived;
    long expiry;

    /**
     * The work that it is thought to be, the same for each try of a client; 0 where that is not
     * told.
     */
    final long hint;

    /** An answer after this earns the late credit at most. */
    long due;

    final List<Attempt> attempts = new ArrayList<>(1);
    boolean overQuota;

    /** What it would end by if it ended now. */
    RejectionReason why = RejectionReason.NO_CAPACITY;

    /** Whether it takes up room in its lane. */
    boolean inLane;

    /** When it was let in. */
    long enteredAt;

    /** Whether it has had its final answer. */
    boolean ended;

    /** When it entered the line, while it waits there. */
    long inLineSince;

    /** The backends that the lane stage leaves to the pick stage. */
    List<Backend> candidates = List.of();

    Request(
            long id,
            RequestClass category,
            int tenant,
            boolean repeated,
            long arrived,
            long expiry,
            long hint) {
        this.id = id;
        this.category = category;
        this.tenant = tenant;
        this.repeated = repeated;
        this.arrived = arrived;
        this.expiry = expiry;
        this.hint = hint;
        this.due = Math.min(expiry, arrived + category.dueTime());
    }

    /** It has to be over by then. */
    void endBy(long latest) {
        expiry = Math.min(expiry, latest);
        due = Math.min(due, latest);
    }

    /** One attempt of the request. */
    static final class Attempt {
        final Backend backend;
        final long sentAt;
        boolean out = true;
        boolean recalled;

        /** Whether its backend was silent for too long while it was out. */
        boolean missed;

        boolean neverRan;

        Attempt(Backend backend, long sentAt) {
            this.backend = backend;
            this.sentAt = sentAt;
        }
    }

    /**
     * By when its next attempt must be written. A repeat of what may have run comes within the
     * window in which backends know it, with a tenth of that left for its way: they count from when
     * they got the first.
     */
    long sendBy() {
        Attempt ran = mayHaveRun();
        return ran == null || category.repeat() == RequestClass.Repeat.SAFE
                ? expiry
                : Math.min(expiry, ran.sentAt + category.repeatWindow() * 9 / 10);
    }

    /** The attempt made last; there is one at least. */
    Attempt last() {
        return attempts.get(attempts.size() - 1);
    }

    boolean tried(Backend backend) {
        return attempts.stream().anyMatch(attempt -> attempt.backend == backend);
    }

    boolean anyOut() {
        for (Attempt attempt : attempts) {
            if (attempt.out) {
                return true;
            }
        }
        return false;
    }

    /** The first attempt that may have run, or null; one that is still out counts. */
    Attempt mayHaveRun() {
        for (Attempt attempt : attempts) {
            if (!attempt.neverRan) {
                return attempt;
            }
        }
        return null;
    }
}
