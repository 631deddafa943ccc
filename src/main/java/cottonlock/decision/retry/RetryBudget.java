package cottonlock.decision.retry;

/**
 * Limits retries of requests that may have been executed to a part of all attempts, so that retries
 * don't amplify an overload. Owned by the load balancer's thread.
 */
final class RetryBudget {
    /** Retries that each attempt permits. */
    private static final double RETRIES_PER_ATTEMPT = 0.1;

    /** The most retries that attempts save up. */
    private static final double MAX_SAVED_RETRIES = 5;

    private double retries;

    /** An attempt, first or repeated, is sent. */
    void onAttempt() {
        retries = Math.min(MAX_SAVED_RETRIES, retries + RETRIES_PER_ATTEMPT);
    }

    /** Whether one more retry is permitted. */
    boolean permitsRetry() {
        return retries >= 1;
    }

    /** Takes one retry out of the budget, which must permit it. */
    void spend() {
        retries--;
    }

    /** Adds one retry that does not count against the budget. */
    void grant() {
        retries++;
    }
}
