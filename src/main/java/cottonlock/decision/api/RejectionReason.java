package cottonlock.decision.api;

/** What ended a request unfinished: the last thing that decided it, one for each. */
public enum RejectionReason {
    /** Beyond its tenant's quota, and no room for that. */
    OVER_QUOTA,
    /** No room, and none came while it waited or nothing waits here. */
    NO_ROOM,
    /** No room, and as much waits for it as can be let in soon. */
    LINE_FULL,
    /** Its expiry is too near for another step. */
    EXPIRY,
    /** No backend that it may go to. */
    NO_BACKEND,
    /** The last backend could not be reached, or nothing was sent. */
    NO_CONNECTION,
    /** The last backend turned it away. */
    TURNED_AWAY,
    /** The last answer was lost, failed or did not come; it may have run and is not sent again. */
    ANSWER_LOST;

    /** What an attempt that ended so, and is the last, ends its request by. */
    public static RejectionReason of(AttemptOutcome outcome) {
        return switch (outcome) {
            case TURNED_AWAY -> TURNED_AWAY;
            case NO_CONNECTION, NOT_SENT -> NO_CONNECTION;
            default -> ANSWER_LOST;
        };
    }
}
