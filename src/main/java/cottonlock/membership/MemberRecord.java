package cottonlock.membership;

import cottonlock.core.Deterministic;

/**
 * One other member as this proxy knows it. Times are tenths of a millisecond; NEVER is before all.
 */
@Deterministic
final class MemberRecord {
    static final long NEVER = Long.MIN_VALUE / 4;

    /** Datagrams that may overtake one another; what is older counts as a repetition. */
    private static final int WINDOW = 64;

    MemberUpdate update;

    /** Of the word, kept: all are added up often. */
    long updateDigest;

    /** Since when it is what it is, and why. */
    long stateSinceTicks;

    String reason = "";
    final int nameHash;

    /** The last datagram of its own that came here without a detour. */
    long heardAtTicks = NEVER;

    /** For how long its module had stood still by then, in hundredths of a second. */
    int stallCentis;

    /** The last direct and the last relayed answer to a probe of this proxy. */
    long ackedAtTicks = NEVER;

    long indirectAckAtTicks = NEVER;

    /** Whether it said, on the detour, that it hears this proxy directly. */
    boolean hearsThisProcess;

    /** Since when its view has differed; NEVER: it does not. */
    long divergedSinceTicks = NEVER;

    /** When it was last told what is held of it. */
    long notifiedAtTicks = NEVER;

    /** While it is in doubt. */
    SuspicionTimer suspicion;

    /** Whether others hold it for failed, and it has not been probed from here since. */
    boolean contested;

    /** Whether it has been dropped. */
    boolean removed;

    private long counter = -1;
    private long seen;

    MemberRecord(MemberUpdate update, long now) {
        this.update = update;
        this.updateDigest = update.digest();
        this.stateSinceTicks = now;
        this.nameHash = MemberUpdate.nameHash(update.name());
    }

    /**
     * Another process under the name: what was heard of the one before says nothing of it, nor its
     * view.
     */
    void resetForNewGeneration() {
        heardAtTicks = NEVER;
        ackedAtTicks = NEVER;
        indirectAckAtTicks = NEVER;
        stallCentis = 0;
        counter = -1;
        seen = 0;
    }

    /** Whether a datagram is neither a repetition nor so old that nobody can tell. */
    boolean acceptDatagramNumber(long number) {
        if (number > counter) {
            long ahead = number - counter;
            seen = ahead >= WINDOW ? 1 : seen << ahead | 1;
            counter = number;
            return true;
        }
        long behind = counter - number;
        if (behind >= WINDOW || (seen >>> behind & 1) == 1) {
            return false;
        }
        seen |= 1L << behind;
        return true;
    }

    /** Whether others hold, or are to be told, that it is not well. */
    boolean isAccused() {
        return update.state() == MemberState.SUSPECT || update.state() == MemberState.FAILED;
    }

    boolean diverges() {
        return update.state().isLive() && divergedSinceTicks != NEVER;
    }

    /** Which of so many parts of the names it lies in. */
    int partition(int parts) {
        return Math.floorMod(nameHash, parts);
    }
}
