package cottonlock.proxy;

/**
 * Estimates how long a peer will take to read what has been written to its connection, by the pace
 * at which it let writes go on. The estimate is cautious: it assumes that the systems' buffers are
 * full. Used by one thread.
 */
final class DrainEstimate {
    /** What the buffers of both systems hold at most, behind a small send buffer. */
    private static final long MAX_BUFFERED_BYTES = 256 << 10;

    /** The number of writes over which the slowest pace is taken: 64 KiB of a long body. */
    private static final int WRITES_OF_SLOWEST_PACE = 8;

    /**
     * The number of writes over which the latest pace is taken: 128 KiB, as a peer makes space in
     * steps of up to half of that.
     */
    private static final int WRITES_OF_LATEST_PACE = 16;

    /** The ends of the latest writes, by their number modulo the length. */
    private final long[] endNanos = new long[WRITES_OF_LATEST_PACE + 1];

    private final long[] endBytes = new long[WRITES_OF_LATEST_PACE + 1];
    private int writes;
    private long firstEndNanos;
    private long writtenBytes;
    private double slowestNanosPerByte;

    /**
     * Records a write.
     *
     * @param nowNanos when it returned, by the monotonic clock
     */
    void written(int count, long nowNanos) {
        writtenBytes += count;
        if (writes == 0) {
            firstEndNanos = nowNanos;
        }
        endNanos[writes % endNanos.length] = nowNanos;
        endBytes[writes % endBytes.length] = writtenBytes;
        writes++;
        slowestNanosPerByte =
                Math.max(slowestNanosPerByte, latestNanosPerByte(WRITES_OF_SLOWEST_PACE));
    }

    /** The pace of the latest writes; 0 if there have not been so many. */
    private double latestNanosPerByte(int writeCount) {
        if (writes <= writeCount) {
            return 0;
        }
        int last = (writes - 1) % endNanos.length;
        int first = (writes - 1 - writeCount) % endNanos.length;
        long bytes = endBytes[last] - endBytes[first];
        return bytes == 0 ? 0 : (double) (endNanos[last] - endNanos[first]) / bytes;
    }

    /**
     * The time that the peer needs, from the last write on, to read all; 0 if nothing is known.
     *
     * <p>The slowest pace of a short stretch is that of a peer which makes space in large steps,
     * and of a late processor, many times over. So once the peer must have read something, its pace
     * since the start and its latest one count instead, the slower of both, if they are faster.
     */
    long remainingNanos() {
        double nanosPerByte = slowestNanosPerByte;
        long surelyReadBytes = writtenBytes - MAX_BUFFERED_BYTES;
        if (surelyReadBytes > 0) {
            int last = (writes - 1) % endNanos.length;
            double overallNanosPerByte =
                    (double) (endNanos[last] - firstEndNanos) / surelyReadBytes;
            double latestNanosPerByte = latestNanosPerByte(WRITES_OF_LATEST_PACE);
            nanosPerByte =
                    Math.min(nanosPerByte, Math.max(overallNanosPerByte, latestNanosPerByte));
        }
        return (long) (Math.min(writtenBytes, MAX_BUFFERED_BYTES) * nanosPerByte);
    }
}
