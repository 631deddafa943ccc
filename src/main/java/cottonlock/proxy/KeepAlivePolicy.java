package cottonlock.proxy;

/**
 * Whether connections to backends are kept for the next attempt. Some networks and backends end
 * kept ones without a word, or as soon as they are used: an attempt lost that way may have run, and
 * counts against a sound backend, while a new connection costs little.
 */
final class KeepAlivePolicy {
    /**
     * Nanoseconds: a request that was read and begun is not broken off so soon after it was sent.
     */
    private static final long BROKEN_AT_ONCE_NANOS = 20_000_000;

    /**
     * Nanoseconds for which breaks are remembered, and then none is kept: seldom enough to try
     * again.
     */
    private static final long WINDOW_NANOS = 10_000_000_000L;

    /**
     * So many within the span are no chance: a backend that dies breaks one or two at the same
     * moment.
     */
    private static final int MAX_BROKEN = 3;

    private long first = System.nanoTime() - WINDOW_NANOS;
    private int breaks;
    private long notUntil = System.nanoTime();

    /**
     * A connection that had been kept broke so many nanoseconds after its next attempt was sent.
     */
    synchronized void broke(long after) {
        if (after > BROKEN_AT_ONCE_NANOS) {
            return;
        }
        long now = System.nanoTime();
        if (now - first > WINDOW_NANOS) {
            first = now;
            breaks = 0;
        }
        if (++breaks >= MAX_BROKEN) {
            notUntil = now + WINDOW_NANOS;
        }
    }

    synchronized boolean worthwhile() {
        return System.nanoTime() - notUntil >= 0;
    }
}
