package cottonlock.decision.retry;

/**
 * Limits retries of requests that may have been executed to a fraction of all attempts, so that
 * retries do not amplify an overload. Owned by the load balancer's thread.
 */
final class RetryBudget {
    /** Retries that each attempt adds to the budget. */
    private static final double RETRIES_PER_ATTEMPT = 0.1;

    /** The maximum number of retries that attempts accumulate. */
    private static final double MAX_SAVED_RETRIES = 5;

    private double savedRetries;

    /** An attempt, first or retry, is sent. */
    void onAttempt() {
        savedRetries = Math.min(MAX_SAVED_RETRIES, savedRetries + RETRIES_PER_ATTEMPT);
    }

    /** Whether one more retry is permitted. */
    boolean permitsRetry() {
        return savedRetries >= 1;
    }

    /** Takes one retry out of the budget, which must permit it. */
    void spend() {
        savedRetries--;
    }

    /** Adds one retry, so that the next one does not reduce the budget. */
    void grant() {
        savedRetries++;
    }
}
