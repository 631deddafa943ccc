package cottonlock.core;

/**
 * Ticks of 0.1 ms, the unit in which the deciding classes count time. The simulator's wire and the
 * settings give microseconds; they are converted once, where they are read.
 *
 * <p>A variable that holds ticks says so by its name: {@code nowTicks} is a moment, {@code
 * timeoutTicks} a length of time. Moments count from an origin that the caller chooses and never go
 * back.
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

    /** The ticks of so many milliseconds. */
    public static long ofMillis(long millis) {
        return millis * PER_MILLISECOND;
    }

    /** The ticks of so many seconds. */
    public static long ofSeconds(long seconds) {
        return seconds * PER_SECOND;
    }

    /** Whole milliseconds of so many ticks, rounded down. */
    public static long toMillis(long ticks) {
        return ticks / PER_MILLISECOND;
    }

    /** Nanoseconds of so many ticks. */
    public static long toNanos(long ticks) {
        return ticks * NANOSECONDS_PER_TICK;
    }
}
