package cottonlock.membership;

import cottonlock.core.Deterministic;

/**
 * The choices on which it rests that no view ends in a falsehood; tests put wrong ones in their
 * place.
 */
@Deterministic
class ProtocolVariants {

    /** Whether a word holds in place of another. */
    boolean outweighs(MemberUpdate one, MemberUpdate other) {
        return one.outweighs(other);
    }

    /** The turn by which a process contradicts a word of this turn on itself. */
    int raised(int turn) {
        return turn + 1;
    }

    /** The life that a process begins where it finds another of its name. */
    long begun(long life) {
        return life + 1;
    }

    /** When a doubt is certain enough. */
    long end(SuspicionTimer s) {
        return s.end();
    }

    /**
     * Whether a failure is taken at another's word: of whoever has been in doubt here for long
     * enough.
     */
    boolean believes(MemberRecord k, MemberUpdate failed, long now) {
        return k.suspicion != null
                && k.word.turn() == failed.turn()
                && k.word.compareLives(failed) == 0
                && k.suspicion.heard(now);
    }

    /** Whether it probes a member itself before it calls it failed. */
    boolean looksItself() {
        return true;
    }

    /** Whether its own standstills keep a process from judging. */
    boolean doubtsItself() {
        return true;
    }

    /** Whether views that differ are mended. */
    boolean mends() {
        return true;
    }

    /** Whether the pages of a long part of the names begin at any of them. */
    boolean beginsAnywhere() {
        return true;
    }

    /** How often a change is told on. */
    int times(int usual) {
        return usual;
    }
}
