package cottonlock.decision.stats;

import java.util.Arrays;

/**
 * The minimum over a sliding window, kept in a ring of buckets of equal length. Times must not
 * decrease. Owned by the load balancer's thread.
 */
public final class SlidingWindowMin {
    private static final double EMPTY = Double.POSITIVE_INFINITY;

    private final double[] buckets;
    private final long bucketTicks;

    /** The number of the latest bucket in use, counted from time 0. */
    private long newestBucket = Long.MIN_VALUE;

    /** A window of this length, rounded up to whole buckets, without samples. */
    public SlidingWindowMin(long windowTicks, int bucketCount) {
        this.buckets = new double[bucketCount];
        this.bucketTicks = Math.max(1, (windowTicks + bucketCount - 1) / bucketCount);
        Arrays.fill(buckets, EMPTY);
    }

    /** Adds a sample. */
    public void add(long nowTicks, double value) {
        advance(Math.floorDiv(nowTicks, bucketTicks));
        int newest = indexOf(newestBucket);
        buckets[newest] = Math.min(buckets[newest], value);
    }

    private void advance(long bucket) {
        if (bucket - buckets.length >= newestBucket) {
            Arrays.fill(buckets, EMPTY);
        } else {
            for (long b = newestBucket + 1; b <= bucket; b++) {
                buckets[indexOf(b)] = EMPTY;
            }
        }
        newestBucket = Math.max(newestBucket, bucket);
    }

    private int indexOf(long bucket) {
        return (int) Math.floorMod(bucket, (long) buckets.length);
    }

    /** The minimum of the window that ended with the latest sample; infinite if it is empty. */
    public double value() {
        double lowest = EMPTY;
        for (double bucket : buckets) {
            lowest = Math.min(lowest, bucket);
        }
        return lowest;
    }
}
