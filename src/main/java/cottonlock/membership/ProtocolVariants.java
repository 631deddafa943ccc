package cottonlock.membership;

import cottonlock.core.Deterministic;

/**
 * The choices on which it rests that no view ends in a falsehood; tests put wrong ones in their
 * place.
 */
@Deterministic
class ProtocolVariants {

    /** Whether a word holds in place of another. */
    boolean supersedes(MemberUpdate one, MemberUpdate other) {
        return one.supersedes(other);
    }

    /** The turn by which a process contradicts a word of this turn on itself. */
    int nextIncarnation(int incarnation) {
        return incarnation + 1;
    }

    /** The life that a process begins where it finds another of its name. */
    long nextGeneration(long generation) {
        return generation + 1;
    }

    /** When a doubt is certain enough. */
    long suspicionExpiryTicks(SuspicionTimer s) {
        return s.expiresAtTicks();
    }

    /**
     * Whether a failure is taken at another's word: of whoever has been in doubt here for long
     * enough.
     */
    boolean acceptsFailureReport(MemberRecord k, MemberUpdate failed, long now) {
        return k.suspicion != null
                && k.update.incarnation() == failed.incarnation()
                && k.update.compareGenerations(failed) == 0
                && k.suspicion.minimumElapsed(now);
    }

    /** Whether it probes a member itself before it calls it failed. */
    boolean probesBeforeFailing() {
        return true;
    }

    /** Whether its own standstills keep a process from judging. */
    boolean tracksLocalHealth() {
        return true;
    }

    /** Whether views that differ are mended. */
    boolean repairsDivergence() {
        return true;
    }

    /** Whether the pages of a long part of the names begin at any of them. */
    boolean startsPagesAtRandomName() {
        return true;
    }

    /** How often a change is told on. */
    int transmitLimit(int usual) {
        return usual;
    }
}
