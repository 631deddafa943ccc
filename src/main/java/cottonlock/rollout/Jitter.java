package cottonlock.rollout;

import java.util.SplittableRandom;

/** Randomised delays, so that the proxies of a fleet do not call control servers in step. */
final class Jitter {
    private final SplittableRandom random;
    private final boolean enabled;

    /** Without jitter, delays have their longest value. */
    Jitter(SplittableRandom random, boolean enabled) {
        this.random = random;
        this.enabled = enabled;
    }

    /** A delay of 0 to maxTicks. */
    long upTo(long maxTicks) {
        return enabled ? random.nextLong(maxTicks + 1) : maxTicks;
    }

    /** A delay of three to five quarters of meanTicks. */
    long around(long meanTicks) {
        return meanTicks * 3 / 4 + upTo(meanTicks / 2);
    }

    /** A delay of half of maxTicks to maxTicks. */
    long upperHalfOf(long maxTicks) {
        return maxTicks / 2 + upTo(maxTicks / 2);
    }
}
