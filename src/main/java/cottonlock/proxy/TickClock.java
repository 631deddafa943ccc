package cottonlock.proxy;

/**
 * The module's time: tenths of a millisecond since 1970, read at the start, monotonic since then.
 */
final class TickClock {
    private final long started = System.currentTimeMillis() * 10;
    private final long from = System.nanoTime();

    long now() {
        return started + (System.nanoTime() - from) / 100_000;
    }
}
