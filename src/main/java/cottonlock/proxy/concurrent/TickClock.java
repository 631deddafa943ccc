package cottonlock.proxy.concurrent;

import java.util.function.LongSupplier;

/**
 * Wall-clock time in ticks of 0.1 ms since 1970: read from the system once, at construction, and
 * monotonic from then on. Safe for use by any thread.
 */
public final class TickClock {
    private static final long NANOS_PER_TICK = 100_000;
    private static final long TICKS_PER_MILLI = 10;

    private final LongSupplier ticks;

    /** A clock that starts at the system's wall-clock time. */
    public TickClock() {
        long startTicks = System.currentTimeMillis() * TICKS_PER_MILLI;
        long startNanos = System.nanoTime();
        this.ticks = () -> startTicks + (System.nanoTime() - startNanos) / NANOS_PER_TICK;
    }

    /** A clock that reads ticks from the given source; for tests. */
    public TickClock(LongSupplier ticks) {
        this.ticks = ticks;
    }

    /** The current time in ticks; monotonic. */
    public long now() {
        return ticks.getAsLong();
    }
}
