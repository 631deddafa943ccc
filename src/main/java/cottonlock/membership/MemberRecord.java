package cottonlock.membership;

import cottonlock.core.Deterministic;

/**
 * What this process knows about one other member. Times are in ticks of 0.1 ms. Confined to the
 * thread of its {@link Membership}.
 */
@Deterministic
final class MemberRecord {
    /** A time before all others. */
    static final long NEVER = Long.MIN_VALUE / 4;

    /** Number of datagrams that may arrive out of order; an older one counts as a duplicate. */
    private static final int REORDERING_WINDOW = 64;

    /** The highest update received. Changed only by {@link MemberTable#replace}. */
    MemberUpdate update;

    /** {@link MemberUpdate#digest} of the update, cached because it is summed often. */
    long updateDigest;

    /** When the member's state last changed. */
    long stateSinceTicks;

    /** Why it has its state, as text for operators. */
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

    /** When this process last sent it the accusation against it. */
    long notifiedAtTicks = NEVER;

    /** The suspicion in progress; null if there is none. */
    SuspicionTimer suspicion;

    /**
     * Whether this process must probe the member before it declares it failed: another member has
     * reported its failure, or its suspicion has expired.
     */
    boolean needsConfirmingProbe;

    /** Whether it was removed from the table. */
    boolean removed;

    private long highestDatagramNumber = -1;

    /**
     * Bit n: whether the datagram with the number {@code highestDatagramNumber - n} was received.
     */
    private long receivedBits;

    MemberRecord(MemberUpdate update, long nowTicks) {
        this.update = update;
        this.updateDigest = update.digest();
        this.stateSinceTicks = nowTicks;
        this.nameHash = MemberUpdate.nameHash(update.name());
    }

    /**
     * Discards the observations of the previous process, as another one now runs under the name.
     */
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
     * @return false for a duplicate, and for a number too old to be checked
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

    /** The partition of the names that the member belongs to. */
    int partition(int partitions) {
        return Math.floorMod(nameHash, partitions);
    }

    /** Appends the state that determines future behavior, for tests that compare states. */
    void appendFingerprint(StringBuilder text, long nowTicks) {
        text.append(update).append(diverges()).append(stallCentis);
        if (suspicion != null) {
            text.append(suspicion.accuserCount())
                    .append(' ')
                    .append(suspicion.expiresAtTicks() - nowTicks);
        }
    }
}
