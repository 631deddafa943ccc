package cottonlock.membership;

import cottonlock.core.Deterministic;
import java.util.ArrayList;
import java.util.List;

/**
 * The time within which a suspected member may refute the suspicion. As in Lifeguard it starts
 * long, since a single accuser may itself be at fault, and shrinks logarithmically as other members
 * confirm the suspicion. Times are in ticks of 0.1 ms. Confined to the thread of its {@link
 * Membership}.
 */
@Deterministic
final class SuspicionTimer {
    /** Represents an accuser whose name is not known. */
    private static final int UNKNOWN_ACCUSER = 0;

    private final long minTicks;
    private final long maxTicks;
    private final int confirmationsNeeded;

    /** Name hashes of the accusers that count; the first one started the suspicion. */
    private final List<Integer> accusers = new ArrayList<>();

    private long startedAtTicks;

    /**
     * Share of the difference between maximum and minimum time removed by confirmations, 0 to 1.
     */
    private double confirmedShare;

    /** The suspicion does not expire before this time, even with all confirmations. */
    private long earliestExpiryTicks;

    /**
     * Starts a suspicion.
     *
     * @param confirmationsNeeded number of other accusers with which the minimum time applies
     */
    SuspicionTimer(
            long nowTicks, int accuserHash, long minTicks, long maxTicks, int confirmationsNeeded) {
        this.startedAtTicks = nowTicks;
        this.minTicks = minTicks;
        this.maxTicks = Math.max(minTicks, maxTicks);
        this.confirmationsNeeded = confirmationsNeeded;
        accusers.add(accuserHash);
        confirmedShare = confirmationsNeeded <= 0 ? 1 : 0;
    }

    /** Counts another accuser; returns false if it was counted before or no more are needed. */
    boolean confirm(int accuserHash) {
        if (accusers.size() > confirmationsNeeded || accusers.contains(accuserHash)) {
            return false;
        }
        addAccuser(accuserHash);
        return true;
    }

    private void addAccuser(int accuserHash) {
        accusers.add(accuserHash);
        confirmedShare =
                confirmationsNeeded <= 0
                        ? 1
                        : Math.log(accusers.size()) / Math.log(confirmationsNeeded + 1);
    }

    /** Counts as many accusers as are needed for the minimum time to apply. */
    void confirmFully() {
        while (accusers.size() <= confirmationsNeeded) {
            addAccuser(UNKNOWN_ACCUSER);
        }
    }

    /** Whether the minimum time has passed. */
    boolean minimumElapsed(long nowTicks) {
        return nowTicks - startedAtTicks >= minTicks;
    }

    /** Whether a member is among the accusers. */
    boolean isAccusedBy(int accuserHash) {
        return accusers.contains(accuserHash);
    }

    /** When the suspicion becomes a failure. */
    long expiresAtTicks() {
        return Math.max(
                earliestExpiryTicks,
                startedAtTicks + Math.round(maxTicks - (maxTicks - minTicks) * confirmedShare));
    }

    /** Excludes a stall of this process, and leaves the minimum time for a late refutation. */
    void extendForStall(long nowTicks, long stallTicks) {
        startedAtTicks += stallTicks;
        earliestExpiryTicks = nowTicks + minTicks;
    }

    /**
     * Defers the expiry, though not beyond twice the maximum time.
     *
     * @return false if it can't be deferred any further
     */
    boolean defer(long nowTicks, long delayTicks) {
        earliestExpiryTicks = Math.min(nowTicks + delayTicks, startedAtTicks + 2 * maxTicks);
        return earliestExpiryTicks > nowTicks;
    }

    long startedAtTicks() {
        return startedAtTicks;
    }

    int accuserCount() {
        return accusers.size();
    }
}
