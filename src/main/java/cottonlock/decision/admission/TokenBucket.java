package cottonlock.decision.admission;

/** A token bucket that refills at a rate which the caller may change from call to call. */
final class TokenBucket {
    private double tokens;

    /** When the bucket was last refilled; -1 before the first call. */
    private long refilledAtTicks = -1;

    /** A bucket that starts with this many tokens. */
    TokenBucket(double initialTokens) {
        tokens = initialTokens;
    }

    /**
     * Refills the bucket and takes one token.
     *
     * @param tokensPerTick the refill rate since the last call
     * @param capacity the maximum number of tokens in the bucket
     * @param minimumTokens the tokens that must be present, 1 or more
     * @return whether a token was taken
     */
    boolean tryTake(long nowTicks, double tokensPerTick, double capacity, double minimumTokens) {
        if (refilledAtTicks >= 0) {
            tokens = Math.min(capacity, tokens + tokensPerTick * (nowTicks - refilledAtTicks));
        }
        refilledAtTicks = nowTicks;
        if (tokens < minimumTokens) {
            return false;
        }
        tokens--;
        return true;
    }
}
