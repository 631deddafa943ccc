package cottonlock.membership;

import cottonlock.core.Deterministic;
import java.util.ArrayList;
import java.util.List;

/**
 * One doubt of one member: it lasts long while one accuser stands alone, whose own ears may be at
 * fault, and the shorter the more others say the same. Times are tenths of a millisecond.
 */
@Deterministic
final class SuspicionTimer {
    private final long least;
    private final long most;
    private final int needed;

    /** The accusers, as many as count; the first began it. */
    private final List<Integer> by = new ArrayList<>();

    private long since;

    /**
     * The part of the time between the longest and the shortest that the accusers have taken off.
     */
    private double part;

    /** Not before this, whatever others say. */
    private long notBefore;

    /** Needed: how many others must confirm it for the shortest time to hold. */
    SuspicionTimer(long now, int accuser, long least, long most, int needed) {
        this.since = now;
        this.least = least;
        this.most = Math.max(least, most);
        this.needed = needed;
        by.add(accuser);
        part = needed <= 0 ? 1 : 0;
    }

    /** Whether it is news that this one doubts too. */
    boolean confirm(int accuser) {
        if (by.size() > needed || by.contains(accuser)) {
            return false;
        }
        return add(accuser);
    }

    private boolean add(int accuser) {
        by.add(accuser);
        part = needed <= 0 ? 1 : Math.log(by.size()) / Math.log(needed + 1);
        return true;
    }

    /** Others have waited for long enough; here it still gets the shortest time to clear itself. */
    void confirmFully() {
        while (by.size() <= needed) {
            add(0);
        }
    }

    /** Whether it has had the shortest time. */
    boolean minimumElapsed(long now) {
        return now - since >= least;
    }

    boolean accusedBy(int accuser) {
        return by.contains(accuser);
    }

    /** When it is certain enough. */
    long expiresAtTicks() {
        return Math.max(notBefore, since + Math.round(most - (most - least) * part));
    }

    /**
     * Whoever judges has stood still: that time counts for nothing, and a refutation may be late.
     */
    void extendForStall(long now, long stoodStill) {
        since += stoodStill;
        notBefore = now + least;
    }

    /** Defers the judgement, not beyond twice the longest time: each doubt must end. */
    boolean defer(long now, long by) {
        notBefore = Math.min(now + by, since + 2 * most);
        return notBefore > now;
    }

    long startedAtTicks() {
        return since;
    }

    int accuserCount() {
        return by.size();
    }
}
