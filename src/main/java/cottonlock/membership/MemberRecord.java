package cottonlock.membership;

import cottonlock.core.Deterministic;

/**
 * What this process knows of one other member. Times are in ticks of 0.1 ms. For the thread of its
 * {@link Membership}.
 */
@Deterministic
final class MemberRecord {
    /** A time before all others. */
    static final long NEVER = Long.MIN_VALUE / 4;

    /** Datagrams that may overtake one another; an older one counts as a duplicate. */
    private static final int REORDERING_WINDOW = 64;

    /** The highest update received. Changed by {@link MemberTable#replace} only. */
    MemberUpdate update;

    /** {@link MemberUpdate#digest} of the update, kept because it is summed often. */
    long updateDigest;

    /** When the member got its state. */
    long stateSinceTicks;

    /** Why it has its state, in words. */
    String reason = "";

    /** Hash of the member's name. */
    final int nameHash;

    /** When the last datagram came directly from the member. */
    long heardAtTicks = NEVER;

    /** For how long its worker had made no progress at that time, in hundredths of a second. */
    int stallCentis;

    /** When it last answered a direct probe of this process. */
    long ackedAtTicks = NEVER;

    /** When another member last relayed its answer. */
    long indirectAckAtTicks = NEVER;

    /** Whether its last answer, direct or relayed, said that it hears this process directly. */
    boolean hearsThisProcess;

    /** Since when its view differs from this one; {@link #NEVER}: it does not. */
    long divergedSinceTicks = NEVER;

    /** When this process last sent it the accusation that is held against it. */
    long notifiedAtTicks = NEVER;

    /** The suspicion in progress; null if there is none. */
    SuspicionTimer suspicion;

    /**
     * Whether it is to be probed from here before it is declared failed: another member reported
     * its failure, or its suspicion has expired.
     */
    boolean needsConfirmingProbe;

    /** Whether it was removed from the table. */
    boolean removed;

    private long highestDatagramNumber = -1;

    /** Bit n: whether the datagram with the number {@code highestDatagramNumber - n} has come. */
    private long receivedBits;

    MemberRecord(MemberUpdate update, long nowTicks) {
        this.update = update;
        this.updateDigest = update.digest();
        this.stateSinceTicks = nowTicks;
        this.nameHash = MemberUpdate.nameHash(update.name());
    }

    /** Discards what was observed of the process before: another one runs under the name. */
    void resetForNewGeneration() {
        heardAtTicks = NEVER;
        ackedAtTicks = NEVER;
        indirectAckAtTicks = NEVER;
        stallCentis = 0;
        highestDatagramNumber = -1;
        receivedBits = 0;
    }

    /**
     * Records a datagram's number.
     *
     * @return false for a duplicate, and for a number too old to tell
     */
    boolean acceptDatagramNumber(long number) {
        if (number > highestDatagramNumber) {
            long ahead = number - highestDatagramNumber;
            receivedBits = ahead >= REORDERING_WINDOW ? 1 : (receivedBits << ahead) | 1;
            highestDatagramNumber = number;
            return true;
        }
        long behind = highestDatagramNumber - number;
        if (behind >= REORDERING_WINDOW || ((receivedBits >>> behind) & 1) == 1) {
            return false;
        }
        receivedBits |= 1L << behind;
        return true;
    }

    /** Whether the member is suspected or was found failed. */
    boolean isAccused() {
        return update.state().isAccusation();
    }

    /** Whether the member may be running. */
    boolean isLive() {
        return update.state().isLive();
    }

    /** Whether the member may be running and its view differs from this one. */
    boolean diverges() {
        return isLive() && divergedSinceTicks != NEVER;
    }

    /** The partition of the names in which the member lies. */
    int partition(int partitions) {
        return Math.floorMod(nameHash, partitions);
    }

    /** All that decides what comes next, for tests that compare states. */
    void appendFingerprint(StringBuilder text, long nowTicks) {
        text.append(update).append(diverges()).append(stallCentis);
        if (suspicion != null) {
            text.append(suspicion.accuserCount())
                    .append(' ')
                    .append(suspicion.expiresAtTicks() - nowTicks);
        }
    }
}
