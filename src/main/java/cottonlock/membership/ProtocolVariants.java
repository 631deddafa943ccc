package cottonlock.membership;

import cottonlock.core.Deterministic;

/**
 * The rules that the protocol's safety depends on. Tests override them with faulty ones to show
 * that violations are found.
 */
@Deterministic
class ProtocolVariants {

    /** Whether an update replaces another one about the same member. */
    boolean supersedes(MemberUpdate update, MemberUpdate other) {
        return update.supersedes(other);
    }

    /** The incarnation by which a process refutes an accusation of the given incarnation. */
    int nextIncarnation(int accusedIncarnation) {
        return accusedIncarnation + 1;
    }

    /**
     * The generation that a process takes if it finds another process of its name with this one.
     */
    long nextGeneration(long foundGeneration) {
        return foundGeneration + 1;
    }

    /** The time at which a suspicion becomes a failure, in ticks. */
    long suspicionExpiryTicks(SuspicionTimer suspicion) {
        return suspicion.expiresAtTicks();
    }

    /**
     * Whether another member's report of a failure is accepted: only if the member has been
     * suspected by this process for the minimum time.
     */
    boolean acceptsFailureReport(MemberRecord member, MemberUpdate failed, long nowTicks) {
        return member.suspicion != null
                && member.update.incarnation() == failed.incarnation()
                && member.update.compareGenerations(failed) == 0
                && member.suspicion.minimumElapsed(nowTicks);
    }

    /** Whether a process itself probes a member before it declares it failed. */
    boolean probesBeforeFailing() {
        return true;
    }

    /** Whether a process's own stalls degrade its local health and extend its suspicions. */
    boolean tracksLocalHealth() {
        return true;
    }

    /** Whether anti-entropy repairs views that differ. */
    boolean repairsDivergence() {
        return true;
    }

    /** Whether the pages of a long partition start at a random name. */
    boolean startsPagesAtRandomName() {
        return true;
    }

    /** How often an update is retransmitted. */
    int transmitLimit(int defaultLimit) {
        return defaultLimit;
    }
}
