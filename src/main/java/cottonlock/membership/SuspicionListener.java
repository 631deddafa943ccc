package cottonlock.membership;

/** Is notified of members that have not answered their probes. */
interface SuspicionListener {
    /**
     * Called when a member did not answer, or its answer shows that it does not work.
     *
     * @param reason text for logs
     */
    void probeFailed(long nowTicks, MemberRecord member, String reason);
}
