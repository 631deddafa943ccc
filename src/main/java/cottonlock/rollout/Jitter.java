package cottonlock.rollout;

import java.util.SplittableRandom;

/** Randomised delays, so that the proxies of a fleet do not call control servers simultaneously. */
final class Jitter {
    private final SplittableRandom random;
    private final boolean enabled;

    /**
     * Creates a source of delays.
     *
     * @param enabled whether to randomise; otherwise each delay has its longest value
     */
    Jitter(SplittableRandom random, boolean enabled) {
        this.random = random;
        this.enabled = enabled;
    }

    /** Returns a delay from 0 to maxTicks. */
    long upTo(long maxTicks) {
        return enabled ? random.nextLong(maxTicks + 1) : maxTicks;
    }

    /** Returns a delay from 3/4 to 5/4 of meanTicks. */
    long around(long meanTicks) {
        return meanTicks * 3 / 4 + upTo(meanTicks / 2);
    }

    /** Returns a delay from half of maxTicks to maxTicks. */
    long upperHalfOf(long maxTicks) {
        return maxTicks / 2 + upTo(maxTicks / 2);
    }
}
