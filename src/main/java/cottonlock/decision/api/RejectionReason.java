package cottonlock.decision.api;

/** Why a request ended without a successful response: the decision that ended it. */
public enum RejectionReason {
    /** The tenant is over its quota, and there is no spare capacity. */
    OVER_QUOTA,
    /** No capacity was free, and none became free while the request was queued. */
    NO_CAPACITY,
    /**
     * No capacity was free, and the queue already holds as many requests as can be admitted within
     * the intended wait.
     */
    QUEUE_FULL,
    /** The deadline has passed, or is too close for the request to be queued. */
    DEADLINE_EXCEEDED,
    /** No backend is eligible for the request. */
    NO_BACKEND,
    /** The last attempt could not connect, or was not sent. */
    CONNECT_FAILED,
    /** The backend of the last attempt rejected it. */
    REJECTED_BY_BACKEND,
    /** The last attempt may have been executed, has no successful response and is not retried. */
    RESPONSE_LOST;

    /** The reason for ending a request whose last attempt ended with this outcome. */
    public static RejectionReason of(AttemptOutcome outcome) {
        return switch (outcome) {
            case REJECTED -> REJECTED_BY_BACKEND;
            case CONNECT_FAILED, NOT_SENT -> CONNECT_FAILED;
            default -> RESPONSE_LOST;
        };
    }
}
