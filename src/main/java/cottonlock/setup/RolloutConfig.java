package cottonlock.setup;

import java.util.List;

/**
 * The source of new versions of a proxy's configuration. Durations are {@linkplain
 * cottonlock.core.Ticks ticks} of 0.1 ms.
 *
 * @param serviceName the service that the configuration is for; 1 to 64 letters, digits, dots,
 *     dashes and underscores
 * @param nearControlAddresses the control servers that are asked first; at least one
 * @param farControlAddresses the control servers that are asked if no near one answers, and for
 *     comparison
 * @param callTimeoutTicks the maximum time until a call is answered; 500 to 20,000
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
    /** The call timeout if the operator's file sets none. */
    public static final long DEFAULT_CALL_TIMEOUT_TICKS = 4_000;

    /** The mean comparison interval if the operator's file sets none. */
    public static final long DEFAULT_COMPARISON_INTERVAL_TICKS = 40_000;

    /** The longest wait between calls if the operator's file sets none. */
    public static final long DEFAULT_MAX_RETRY_DELAY_TICKS = 40_000;
}
