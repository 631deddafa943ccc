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

    MemberUpdate word;

    /** Of the word, kept: all are added up often. */
    long mark;

    /** Since when it is what it is, and why. */
    long since;

    String reason = "";
    final int hash;

    /** The last datagram of its own that came here without a detour. */
    long heardAt = NEVER;

    /** For how long its module had stood still by then, in hundredths of a second. */
    int lag;

    /** The last direct and the last relayed answer to a probe of this proxy. */
    long answeredAt = NEVER;

    long relayedAt = NEVER;

    /** Whether it said, on the detour, that it hears this proxy directly. */
    boolean hearsMe;

    /** Since when its view has differed; NEVER: it does not. */
    long differsSince = NEVER;

    /** When it was last told what is held of it. */
    long toldAt = NEVER;

    /** While it is in doubt. */
    SuspicionTimer suspicion;

    /** Whether others hold it for failed, and it has not been probed from here since. */
    boolean contested;

    /** Whether it has been dropped. */
    boolean gone;

    private long counter = -1;
    private long seen;

    MemberRecord(MemberUpdate word, long now) {
        this.word = word;
        this.mark = word.mark();
        this.since = now;
        this.hash = MemberUpdate.hash(word.name());
    }

    /**
     * Another process under the name: what was heard of the one before says nothing of it, nor its
     * view.
     */
    void startedAnew() {
        heardAt = NEVER;
        answeredAt = NEVER;
        relayedAt = NEVER;
        lag = 0;
        counter = -1;
        seen = 0;
    }

    /** Whether a datagram is neither a repetition nor so old that nobody can tell. */
    boolean fresh(long number) {
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
    boolean accused() {
        return word.state() == MemberState.SUSPECT || word.state() == MemberState.FAILED;
    }

    boolean differs() {
        return word.state().lives() && differsSince != NEVER;
    }

    /** Which of so many parts of the names it lies in. */
    int part(int parts) {
        return Math.floorMod(hash, parts);
    }
}
