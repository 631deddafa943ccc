package cottonlock.membership;

/** Learns which members have not answered their probes. */
interface SuspicionListener {
    /**
     * A member did not answer, or its answer shows that it does not work.
     *
     * @param reason in words, for logs
     */
    void probeFailed(long nowTicks, MemberRecord member, String reason);
}
