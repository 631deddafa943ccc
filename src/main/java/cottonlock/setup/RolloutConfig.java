package cottonlock.setup;

import java.util.List;

/**
 * Where a proxy learns of new versions of its configuration. Lengths of time are {@linkplain
 * cottonlock.core.Ticks ticks} of 0.1 ms.
 *
 * @param serviceName whose configuration this is; 1 to 64 letters, digits, dots, dashes and
 *     underscores
 * @param nearControlAddresses the control servers that are asked first; one at least
 * @param farControlAddresses the control servers that are asked where no near one answers, and for
 *     comparison
 * @param callTimeoutTicks how long a call may take until it is answered; 500 to 20,000
 * @param comparisonIntervalTicks the mean time between two comparisons with another control server;
 *     10,000 to 600,000
 * @param maxRetryDelayTicks the longest wait between two calls while no control server answers;
 *     5,000 to 600,000
 */
public record RolloutConfig(
        String serviceName,
        List<String> nearControlAddresses,
        List<String> farControlAddresses,
        long callTimeoutTicks,
        long comparisonIntervalTicks,
        long maxRetryDelayTicks) {
    /** The call timeout where the operator's file gives none. */
    public static final long DEFAULT_CALL_TIMEOUT_TICKS = 4_000;

    /** The interval of comparisons where the operator's file gives none. */
    public static final long DEFAULT_COMPARISON_INTERVAL_TICKS = 40_000;

    /** The longest wait between calls where the operator's file gives none. */
    public static final long DEFAULT_MAX_RETRY_DELAY_TICKS = 40_000;
}
