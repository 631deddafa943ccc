package cottonlock.membership;

/**
 * What a member is held for. Of the same turn of the same life, a later one outweighs an earlier
 * one.
 */
public enum MemberState {
    /** It has started, and does not know the others yet. */
    JOINING,
    ALIVE,
    /** Somebody got no answer, or a bad one; it may still clear itself. */
    SUSPECT,
    FAILED,
    /** It has ended on purpose, by its own word. */
    LEFT;

    /** Whether it may still be there. */
    public boolean isLive() {
        return this == JOINING || this == ALIVE || this == SUSPECT;
    }
}
