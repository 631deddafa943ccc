package cottonlock.decision.stats;

import java.util.ArrayList;
import java.util.List;

/**
 * Means over the recent past, one for each number that comes up (a category, a kind of backend).
 */
public final class SlidingWindowMean {
    private static final int BUCKETS = 10;
    private final long span;
    private final List<SlidingWindowSum> sums = new ArrayList<>();
    private final List<SlidingWindowSum> counts = new ArrayList<>();

    public SlidingWindowMean(long span) {
        this.span = span;
    }

    public void add(long now, int number, long value) {
        while (sums.size() <= number) {
            sums.add(new SlidingWindowSum(span, BUCKETS));
            counts.add(new SlidingWindowSum(span, BUCKETS));
        }
        sums.get(number).add(now, value);
        counts.get(number).add(now, 1);
    }

    public long count(long now, int number) {
        return number < counts.size() ? counts.get(number).sum(now) : 0;
    }

    /** The average, as if {@code imagined} more values had been the given one. */
    public double mean(long now, int number, int imagined, double value) {
        long count = count(now, number);
        double sum = count == 0 ? 0 : sums.get(number).sum(now);
        return count + imagined == 0 ? 0 : (sum + imagined * value) / (count + imagined);
    }
}
