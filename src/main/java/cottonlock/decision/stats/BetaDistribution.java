package cottonlock.decision.stats;

import java.util.SplittableRandom;

/**
 * The beta distribution: the distribution of a probability of success, given the outcomes of some
 * trials.
 */
public final class BetaDistribution {
    private BetaDistribution() {}

    /**
     * Draws a probability, above 0 and below 1.
     *
     * @param alpha successes plus one, at least 1
     * @param beta failures plus one, at least 1; each unit of alpha and beta draws one random
     *     number
     */
    public static double draw(SplittableRandom random, int alpha, int beta) {
        double successes = drawGamma(random, alpha);
        return successes / (successes + drawGamma(random, beta));
    }

    /** Draws from the gamma distribution with an integer shape: a sum of exponential draws. */
    private static double drawGamma(SplittableRandom random, int shape) {
        double product = 1;
        for (int i = 0; i < shape; i++) {
            product *= 1 - random.nextDouble();
        }
        return -Math.log(product);
    }
}
