package cottonlock.decision.stats;

import java.util.ArrayList;
import java.util.List;

/**
 * Means over a sliding window, for several series that are numbered from 0, such as one for each
 * request class. Times must not decrease. Owned by the load balancer's thread.
 */
public final class SlidingWindowMean {
    private static final int BUCKETS = 10;

    private final long windowTicks;
    private final List<SlidingWindowSum> sums = new ArrayList<>();
    private final List<SlidingWindowSum> counts = new ArrayList<>();

    /** A window of this length, without samples. */
    public SlidingWindowMean(long windowTicks) {
        this.windowTicks = windowTicks;
    }

    /** Adds a sample to a series. */
    public void add(long nowTicks, int series, long value) {
        while (sums.size() <= series) {
            sums.add(new SlidingWindowSum(windowTicks, BUCKETS));
            counts.add(new SlidingWindowSum(windowTicks, BUCKETS));
        }
        sums.get(series).add(nowTicks, value);
        counts.get(series).add(nowTicks, 1);
    }

    /** The number of samples of a series in the window. */
    public long count(long nowTicks, int series) {
        return series < counts.size() ? counts.get(series).sum(nowTicks) : 0;
    }

    /**
     * The mean of the samples of a series in the window and of some prior samples of one value; 0
     * if there are neither.
     *
     * @param priorSamples the number of prior samples, 0 or more
     * @param priorValue the value of each of them
     */
    public double mean(long nowTicks, int series, int priorSamples, double priorValue) {
        long count = count(nowTicks, series);
        if (count + priorSamples == 0) {
            return 0;
        }
        double sum = count == 0 ? 0 : sums.get(series).sum(nowTicks);
        return (sum + priorSamples * priorValue) / (count + priorSamples);
    }
}
