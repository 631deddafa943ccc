package cottonlock.decision.api;

/** How an attempt, or a health probe, ended. */
public enum AttemptOutcome {
    /** The backend answered, and its response arrived completely. */
    COMPLETED,
    /** The backend answered with an error. */
    ERROR,
    /** The backend refused the request without executing it. */
    REJECTED,
    /** No response had arrived by the deadline. */
    TIMED_OUT,
    /** No connection to the backend could be opened. */
    CONNECT_FAILED,
    /** The connection broke after the request was written. */
    CONNECTION_BROKEN,
    /** The load balancer cancelled the attempt. */
    CANCELLED,
    /** The request was not written, for instance because its deadline had passed. */
    NOT_SENT;

    /** Whether the outcome proves that the backend did not execute the request. */
    public boolean neverExecuted() {
        return this == REJECTED || this == CONNECT_FAILED || this == NOT_SENT;
    }
}
