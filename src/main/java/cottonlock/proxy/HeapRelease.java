package cottonlock.proxy;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Returns heap that is no longer used to the system while another process of the proxy needs
 * memory: the heap shrinks only when all of it is collected. Used by one thread.
 */
final class HeapRelease {
    /** Milliseconds before the first collection, and between two: connections end meanwhile. */
    static final long INTERVAL_MILLIS = 500;

    /** A heap of this size has hardly grown since the start: a collection would gain nothing. */
    static final long MIN_HEAP_BYTES = 10 << 20;

    private final LongSupplier heapBytes;
    private final LongSupplier nanoClock;
    private final Runnable collection;

    /** Whether memory was needed at the last call. */
    private boolean needed;

    /** When the heap was last collected or memory began to be needed, by the monotonic clock. */
    private long waitsSinceNanos;

    /**
     * Releases the heap of this process.
     *
     * @param beforeCollection drops what is kept without need
     */
    HeapRelease(Runnable beforeCollection) {
        this(
                () -> Runtime.getRuntime().totalMemory(),
                System::nanoTime,
                () -> {
                    beforeCollection.run();
                    System.gc();
                });
    }

    HeapRelease(LongSupplier heapBytes, LongSupplier nanoClock, Runnable collection) {
        this.heapBytes = heapBytes;
        this.nanoClock = nanoClock;
        this.collection = collection;
    }

    /** Called repeatedly, with whether another process needs memory. */
    void update(boolean isNeeded) {
        long nowNanos = nanoClock.getAsLong();
        if (!needed || !isNeeded) {
            needed = isNeeded;
            waitsSinceNanos = nowNanos;
        } else if (nowNanos - waitsSinceNanos >= TimeUnit.MILLISECONDS.toNanos(INTERVAL_MILLIS)
                && heapBytes.getAsLong() > MIN_HEAP_BYTES) {
            waitsSinceNanos = nowNanos;
            collection.run();
        }
    }
}
