package cottonlock.decision.stats;

/** A sum over the recent past, kept in buckets of fixed length that are used again in a ring. */
public final class SlidingWindowSum {
    private final long[] buckets;
    private final long bucketLength;
    private long newest = Long.MIN_VALUE;
    private long total;

    public SlidingWindowSum(long span, int buckets) {
        this.buckets = new long[buckets];
        this.bucketLength = Math.max(1, (span + buckets - 1) / buckets);
    }

    public void add(long now, long amount) {
        roll(now);
        buckets[(int) Math.floorMod(newest, (long) buckets.length)] += amount;
        total += amount;
    }

    /**
     * The sum over the span up to now; the oldest bucket counts whole until all of it is too old.
     */
    public long sum(long now) {
        roll(now);
        return total;
    }

    public void clear() {
        java.util.Arrays.fill(buckets, 0);
        total = 0;
    }

    private void roll(long now) {
        long bucket = Math.floorDiv(now, bucketLength);
        if (bucket - buckets.length >= newest) {
            clear();
        } else {
            for (long b = newest + 1; b <= bucket; b++) {
                int i = (int) Math.floorMod(b, (long) buckets.length);
                total -= buckets[i];
                buckets[i] = 0;
            }
        }
        newest = Math.max(newest, bucket);
    }
}
