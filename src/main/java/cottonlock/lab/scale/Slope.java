package cottonlock.lab.scale;

import cottonlock.core.Deterministic;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The growth of a figure with a size. A straight line and a power law are fitted to all points by
 * least squares, the power law on logarithms; of the two, the one with the smaller spread is used.
 * Sizes and figures carry no unit here.
 *
 * @param law "linear" or "power", whichever fits better
 * @param base the line's value at size 0, or the power law's value at size 1
 * @param rise the line's increase per unit of size, or the power law's exponent
 * @param spread the root mean square of the residuals as a part of the points' mean
 * @param seedSpread the largest range over the seeds of one size as a part of that size's mean; NaN
 *     if no size has two seeds
 * @param alternative the fit of the other law to the same points; null if no power law can be
 *     fitted
 * @param sizeCount the number of distinct sizes that the fit rests on
 * @param largestSize the largest of these sizes
 */
@Deterministic
record Slope(
        String law,
        double base,
        double rise,
        double spread,
        double seedSpread,
        Slope alternative,
        int sizeCount,
        double largestSize) {
    /** Three sizes can't distinguish a line from a curve in the presence of spread; four can. */
    static final int MIN_SIZES = 4;

    /** The figure of one run. */
    record Point(double size, double value) {}

    /** Fits both laws; null if there are fewer distinct sizes than the minimum, or than two. */
    static Slope fit(List<Point> points, int minSizes) {
        Map<Double, List<Double>> bySize = new TreeMap<>();
        points.forEach(p -> bySize.computeIfAbsent(p.size, s -> new ArrayList<>()).add(p.value));
        if (bySize.size() < Math.max(2, minSizes)) {
            return null;
        }
        double seedSpread = Double.NaN;
        for (List<Double> values : bySize.values()) {
            if (values.size() < 2) {
                continue;
            }
            double mean = values.stream().mapToDouble(v -> v).average().orElse(0);
            double high = values.stream().mapToDouble(v -> v).max().orElse(0);
            double low = values.stream().mapToDouble(v -> v).min().orElse(0);
            double relativeRange = high == low ? 0 : (high - low) / Math.max(1e-12, Math.abs(mean));
            seedSpread =
                    Double.isNaN(seedSpread) ? relativeRange : Math.max(seedSpread, relativeRange);
        }
        double largestSize = bySize.keySet().stream().mapToDouble(s -> s).max().orElse(0);
        double[] line = fitLine(points);
        Slope linear =
                createFit("linear", line, points, seedSpread, null, bySize.size(), largestSize);
        if (points.stream().anyMatch(p -> p.size <= 0 || p.value <= 0)) {
            return linear;
        }
        double[] logs =
                fitLine(
                        points.stream()
                                .map(p -> new Point(Math.log(p.size), Math.log(p.value)))
                                .toList());
        Slope power =
                createFit(
                        "power",
                        new double[] {Math.exp(logs[0]), logs[1]},
                        points,
                        seedSpread,
                        null,
                        bySize.size(),
                        largestSize);
        return linear.spread <= power.spread
                ? linear.withAlternative(power)
                : power.withAlternative(linear);
    }

    private Slope withAlternative(Slope alternativeFit) {
        return new Slope(
                law, base, rise, spread, seedSpread, alternativeFit, sizeCount, largestSize);
    }

    private static Slope createFit(
            String law,
            double[] fit,
            List<Point> points,
            double seedSpread,
            Slope alternative,
            int sizeCount,
            double largestSize) {
        Slope withoutSpread =
                new Slope(law, fit[0], fit[1], 0, seedSpread, alternative, sizeCount, largestSize);
        double mean = points.stream().mapToDouble(Point::value).average().orElse(0);
        double meanSquare =
                points.stream()
                        .mapToDouble(p -> Math.pow(p.value - withoutSpread.valueAt(p.size), 2))
                        .average()
                        .orElse(0);
        double spread =
                meanSquare < 1e-24 ? 0 : Math.sqrt(meanSquare) / Math.max(1e-12, Math.abs(mean));
        return new Slope(
                law, fit[0], fit[1], spread, seedSpread, alternative, sizeCount, largestSize);
    }

    /** The value at 0 and the slope of the least-squares line. */
    private static double[] fitLine(List<Point> points) {
        double x = points.stream().mapToDouble(Point::size).average().orElse(0);
        double y = points.stream().mapToDouble(Point::value).average().orElse(0);
        double crossProducts = points.stream().mapToDouble(p -> (p.size - x) * (p.value - y)).sum();
        double squaredSizes = points.stream().mapToDouble(p -> (p.size - x) * (p.size - x)).sum();
        double rise = squaredSizes == 0 ? 0 : crossProducts / squaredSizes;
        return new double[] {y - rise * x, rise};
    }

    /** The fitted value at a size. */
    double valueAt(double size) {
        return law.equals("linear") ? base + rise * size : base * Math.pow(size, rise);
    }

    /** The factor by which a size exceeds the largest measured size; at least 1. */
    double extrapolationFactor(double size) {
        return Math.max(1, size / largestSize);
    }
}
