package cottonlock.decision.stats;

import java.util.Arrays;

/**
 * The lowest value of the recent past, kept in buckets of fixed length that are used again in a
 * ring.
 */
public final class SlidingWindowMin {
    private final double[] buckets;
    private final long bucketLength;
    private long newest = Long.MIN_VALUE;

    public SlidingWindowMin(long span, int buckets) {
        this.buckets = new double[buckets];
        this.bucketLength = Math.max(1, (span + buckets - 1) / buckets);
        Arrays.fill(this.buckets, Double.POSITIVE_INFINITY);
    }

    public void add(long now, double value) {
        long bucket = Math.floorDiv(now, bucketLength);
        if (bucket - buckets.length >= newest) {
            Arrays.fill(buckets, Double.POSITIVE_INFINITY);
        } else {
            for (long b = newest + 1; b <= bucket; b++) {
                buckets[(int) Math.floorMod(b, (long) buckets.length)] = Double.POSITIVE_INFINITY;
            }
        }
        newest = Math.max(newest, bucket);
        int i = (int) Math.floorMod(newest, (long) buckets.length);
        buckets[i] = Math.min(buckets[i], value);
    }

    /** The lowest value still kept; infinite when there is none. */
    public double value() {
        double lowest = Double.POSITIVE_INFINITY;
        for (double v : buckets) {
            lowest = Math.min(lowest, v);
        }
        return lowest;
    }
}
