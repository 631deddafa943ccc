package cottonlock.decision.api;

/** How an attempt or a probe ended. */
public enum AttemptOutcome {
    FINISHED,
    ERROR,
    TURNED_AWAY,
    TIMED_OUT,
    NO_CONNECTION,
    BROKEN_OFF,
    RECALLED,
    NOT_SENT;

    /** Whether the outcome proves that the request never ran on that backend. */
    public boolean neverRan() {
        return this == TURNED_AWAY || this == NO_CONNECTION || this == NOT_SENT;
    }
}
