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
    private static final long IMMEDIATE_BREAK_NANOS = 20_000_000;

    /**
     * Nanoseconds for which breaks are remembered, and then none is kept: seldom enough to try
     * again.
     */
    private static final long WINDOW_NANOS = 10_000_000_000L;

    /**
     * So many within the span are no chance: a backend that dies breaks one or two at the same
     * moment.
     */
    private static final int BREAKS_TO_STOP_REUSE = 3;

    private long windowStartNanos = System.nanoTime() - WINDOW_NANOS;
    private int breaksInWindow;
    private long reuseBlockedUntilNanos = System.nanoTime();

    /**
     * A connection that had been kept broke so many nanoseconds after its next attempt was sent.
     */
    synchronized void reusedConnectionBroke(long nanosAfterSend) {
        if (nanosAfterSend > IMMEDIATE_BREAK_NANOS) {
            return;
        }
        long now = System.nanoTime();
        if (now - windowStartNanos > WINDOW_NANOS) {
            windowStartNanos = now;
            breaksInWindow = 0;
        }
        if (++breaksInWindow >= BREAKS_TO_STOP_REUSE) {
            reuseBlockedUntilNanos = now + WINDOW_NANOS;
        }
    }

    synchronized boolean isReuseAllowed() {
        return System.nanoTime() - reuseBlockedUntilNanos >= 0;
    }
}
