package cottonlock.proxy;

/**
 * Estimates how long a peer will take to read what has been written to its connection, by the pace
 * at which it let writes go on. The estimate is cautious: it takes the slowest pace seen, as a peer
 * may read in pieces, and assumes that the systems' buffers are full. Used by one thread.
 */
final class DrainEstimate {
    /** What the buffers of both systems hold at most, behind a small send buffer. */
    private static final long MAX_BUFFERED_BYTES = 256 << 10;

    /** The number of writes over which the pace is measured: 64 KiB of a long body. */
    private static final int WRITES_MEASURED = 8;

    /** The ends of the latest writes, by their number modulo the length. */
    private final long[] endNanos = new long[WRITES_MEASURED + 1];

    private final long[] endBytes = new long[WRITES_MEASURED + 1];
    private int writes;
    private long writtenBytes;
    private double slowestNanosPerByte;

    /**
     * Records a write.
     *
     * @param nowNanos when it returned, by the monotonic clock
     */
    void written(int count, long nowNanos) {
        writtenBytes += count;
        int last = writes % endNanos.length;
        endNanos[last] = nowNanos;
        endBytes[last] = writtenBytes;
        writes++;
        // In a ring of one more entry the next place holds the end of the write before them.
        int first = writes % endNanos.length;
        if (writes > WRITES_MEASURED && endBytes[last] > endBytes[first]) {
            double nanosPerByte =
                    (double) (endNanos[last] - endNanos[first])
                            / (endBytes[last] - endBytes[first]);
            slowestNanosPerByte = Math.max(slowestNanosPerByte, nanosPerByte);
        }
    }

    /** The time that the peer needs, from the last write on, to read all; 0 if nothing is known. */
    long remainingNanos() {
        return (long) (Math.min(writtenBytes, MAX_BUFFERED_BYTES) * slowestNanosPerByte);
    }
}
