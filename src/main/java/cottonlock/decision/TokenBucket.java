package cottonlock.decision;

/** A bucket of tokens that fills at a given rate up to a given depth. */
final class TokenBucket {
    private double level;
    private long filledAt = -1;

    TokenBucket(double level) {
        this.level = level;
    }

    /**
     * Takes one token if at least so many are there; {@code rate} is for each tenth of a
     * millisecond.
     */
    boolean take(long now, double rate, double depth, double atLeast) {
        if (filledAt >= 0) {
            level = Math.min(depth, level + rate * (now - filledAt));
        }
        filledAt = now;
        if (level < atLeast) {
            return false;
        }
        level--;
        return true;
    }
}
