package cottonlock.proxy;

/**
 * Estimates how long a peer will take to read what has been written to its connection, from the
 * pace at which it let writes go on. Until a write has to wait, the buffers of both systems take in
 * all of it, and nothing is known of the peer. Used by one thread.
 */
final class DrainEstimate {
    /** A write that takes longer than this has waited for the peer. */
    private static final long WAIT_NANOS = 5_000_000;

    /** Bytes written before the first write that waited: what the buffers hold. */
    private long bufferedBytes;

    /** Bytes written since then, and the time that it took. */
    private long pacedBytes;

    private long firstWaitNanos;
    private long lastWriteNanos;

    /**
     * Records a write.
     *
     * @param begunNanos when it began, by the monotonic clock
     * @param endNanos when it returned
     */
    void written(int count, long begunNanos, long endNanos) {
        if (pacedBytes == 0 && endNanos - begunNanos < WAIT_NANOS) {
            bufferedBytes += count;
            return;
        }
        if (pacedBytes == 0) {
            firstWaitNanos = begunNanos;
        }
        pacedBytes += count;
        lastWriteNanos = endNanos;
    }

    /** The time that the peer needs, from the last write on, to read all; 0 if nothing is known. */
    long remainingNanos() {
        return pacedBytes == 0 ? 0 : bufferedBytes * (lastWriteNanos - firstWaitNanos) / pacedBytes;
    }
}
