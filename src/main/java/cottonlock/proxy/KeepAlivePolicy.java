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
    private static final long AT_ONCE = 20_000_000;

    /**
     * Nanoseconds for which breaks are remembered, and then none is kept: seldom enough to try
     * again.
     */
    private static final long SPAN = 10_000_000_000L;

    /**
     * So many within the span are no chance: a backend that dies breaks one or two at the same
     * moment.
     */
    private static final int MANY = 3;

    private long first = System.nanoTime() - SPAN;
    private int breaks;
    private long notUntil = System.nanoTime();

    /**
     * A connection that had been kept broke so many nanoseconds after its next attempt was sent.
     */
    synchronized void broke(long after) {
        if (after > AT_ONCE) {
            return;
        }
        long now = System.nanoTime();
        if (now - first > SPAN) {
            first = now;
            breaks = 0;
        }
        if (++breaks >= MANY) {
            notUntil = now + SPAN;
        }
    }

    synchronized boolean worthwhile() {
        return System.nanoTime() - notUntil >= 0;
    }
}
