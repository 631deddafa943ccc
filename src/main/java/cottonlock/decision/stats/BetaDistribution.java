package cottonlock.decision.stats;

import java.util.SplittableRandom;

/** Draws from the beta distribution, the posterior of a chance of success. */
public final class BetaDistribution {
    private BetaDistribution() {}

    public static double draw(SplittableRandom random, int a, int b) {
        double x = gamma(random, a);
        return x / (x + gamma(random, b));
    }

    private static double gamma(SplittableRandom random, int shape) {
        double product = 1;
        for (int i = 0; i < shape; i++) {
            product *= 1 - random.nextDouble();
        }
        return -Math.log(product);
    }
}
