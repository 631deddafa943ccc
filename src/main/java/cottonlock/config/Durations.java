package cottonlock.config;

/** Reads durations as ticks of 0.1 ms (see {@code cottonlock.core.Ticks}). */
final class Durations {
    private static final int TICKS_PER_MILLI = 10;
    private static final int TICKS_PER_SECOND = 10_000;

    private Durations() {}

    /**
     * Reads a whole number of milliseconds.
     *
     * @param defaultTicks the default in ticks
     * @param minMillis the minimum in milliseconds
     * @param maxMillis the maximum in milliseconds
     * @return the duration in ticks
     */
    static long millisAsTicks(
            Fields table, String key, long defaultTicks, int minMillis, int maxMillis) {
        int defaultMillis = (int) (defaultTicks / TICKS_PER_MILLI);
        return (long) TICKS_PER_MILLI * table.integer(key, defaultMillis, minMillis, maxMillis);
    }

    /** Reads a whole number of seconds, like {@link #millisAsTicks}. */
    static long secondsAsTicks(
            Fields table, String key, long defaultTicks, int minSeconds, int maxSeconds) {
        int defaultSeconds = (int) (defaultTicks / TICKS_PER_SECOND);
        return (long) TICKS_PER_SECOND * table.integer(key, defaultSeconds, minSeconds, maxSeconds);
    }
}
