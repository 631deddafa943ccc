package cottonlock.decision.stats;

import java.util.SplittableRandom;

/** The beta distribution: what is known of a probability of success after some trials. */
public final class BetaDistribution {
    private BetaDistribution() {}

    /**
     * Draws a probability, above 0 and below 1.
     *
     * @param alpha successes plus one, 1 at least
     * @param beta failures plus one, 1 at least; each unit of both costs one draw of a number
     */
    public static double draw(SplittableRandom random, int alpha, int beta) {
        double successes = drawGamma(random, alpha);
        return successes / (successes + drawGamma(random, beta));
    }

    /** Draws from the gamma distribution of a whole shape: a sum of exponential draws. */
    private static double drawGamma(SplittableRandom random, int shape) {
        double product = 1;
        for (int i = 0; i < shape; i++) {
            product *= 1 - random.nextDouble();
        }
        return -Math.log(product);
    }
}
