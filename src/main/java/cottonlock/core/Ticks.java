package cottonlock.core;

/**
 * Ticks of 0.1 ms, the unit of time in decisions. The simulator's protocol and the settings use
 * microseconds, which are converted once, where they are read.
 *
 * <p>Names of variables that hold ticks end in {@code Ticks}: {@code nowTicks} is a point in time,
 * {@code timeoutTicks} a duration. Points in time count from an origin that the caller chooses and
 * never decrease.
 */
public final class Ticks {
    /** Ticks in a millisecond. */
    public static final long PER_MILLISECOND = 10;

    /** Ticks in a second. */
    public static final long PER_SECOND = 1_000 * PER_MILLISECOND;

    /** Microseconds in a tick. */
    public static final long MICROSECONDS_PER_TICK = 100;

    /** Nanoseconds in a tick. */
    public static final long NANOSECONDS_PER_TICK = 1_000 * MICROSECONDS_PER_TICK;

    private Ticks() {}

    /** Converts milliseconds to ticks. */
    public static long ofMillis(long millis) {
        return millis * PER_MILLISECOND;
    }

    /** Converts seconds to ticks. */
    public static long ofSeconds(long seconds) {
        return seconds * PER_SECOND;
    }

    /** Converts ticks to milliseconds, rounded down. */
    public static long toMillis(long ticks) {
        return ticks / PER_MILLISECOND;
    }

    /** Converts ticks to nanoseconds. */
    public static long toNanos(long ticks) {
        return ticks * NANOSECONDS_PER_TICK;
    }
}
