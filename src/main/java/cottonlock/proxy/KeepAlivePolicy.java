package cottonlock.proxy;

/**
 * Decides whether connections to backends are kept for the next attempt. Some networks and backends
 * drop kept connections silently, or close them as soon as they are used again. An attempt lost
 * that way may have been executed and counts against a healthy backend, while a new connection
 * costs little.
 */
final class KeepAlivePolicy {
    /**
     * Nanoseconds after sending within which a break is blamed on the reuse of the connection: a
     * request that was read and started does not break off that soon.
     */
    private static final long IMMEDIATE_BREAK_NANOS = 20_000_000;

    /**
     * Nanoseconds for which breaks are counted, and then for which no connection is reused: reuse
     * is tried again rarely enough.
     */
    private static final long WINDOW_NANOS = 10_000_000_000L;

    /**
     * This many breaks within the window are no coincidence: a backend that crashes breaks one or
     * two connections at the same moment.
     */
    private static final int BREAKS_TO_STOP_REUSE = 3;

    private long windowStartNanos = System.nanoTime() - WINDOW_NANOS;
    private int breaksInWindow;
    private long reuseBlockedUntilNanos = System.nanoTime();

    /**
     * Records that a kept connection broke during its next attempt.
     *
     * @param nanosAfterSend the time since the attempt was sent
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
