package cottonlock.decision.stats;

import java.util.Arrays;

/**
 * A sum over a sliding window, kept in a ring of buckets of equal length. Times must not decrease.
 * Owned by the load balancer's thread.
 */
public final class SlidingWindowSum {
    private final long[] buckets;
    private final long bucketTicks;

    /** The number of the latest bucket in use, counted from time 0. */
    private long newestBucket = Long.MIN_VALUE;

    private long total;

    /** A window of this length, rounded up to whole buckets, without samples. */
    public SlidingWindowSum(long windowTicks, int bucketCount) {
        this.buckets = new long[bucketCount];
        this.bucketTicks = Math.max(1, (windowTicks + bucketCount - 1) / bucketCount);
    }

    /** Adds an amount, which may be negative. */
    public void add(long nowTicks, long amount) {
        advance(nowTicks);
        buckets[indexOf(newestBucket)] += amount;
        total += amount;
    }

    /**
     * The sum of the window that ends now; a bucket counts until all of it is outside the window.
     */
    public long sum(long nowTicks) {
        advance(nowTicks);
        return total;
    }

    /** Removes all amounts. */
    public void clear() {
        Arrays.fill(buckets, 0);
        total = 0;
    }

    private void advance(long nowTicks) {
        long bucket = Math.floorDiv(nowTicks, bucketTicks);
        if (bucket - buckets.length >= newestBucket) {
            clear();
        } else {
            for (long b = newestBucket + 1; b <= bucket; b++) {
                int expired = indexOf(b);
                total -= buckets[expired];
                buckets[expired] = 0;
            }
        }
        newestBucket = Math.max(newestBucket, bucket);
    }

    private int indexOf(long bucket) {
        return (int) Math.floorMod(bucket, (long) buckets.length);
    }
}
