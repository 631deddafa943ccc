package cottonlock.rollout;

import cottonlock.core.Deterministic;

/**
 * The safeguards of a rollout, one method each. Production code uses {@link #DEFAULT}; tests
 * override single methods to show what fails without that safeguard.
 */
@Deterministic
public class RolloutVariants {
    /** All safeguards are on. */
    public static final RolloutVariants DEFAULT = new RolloutVariants();

    /** Whether the candidate version replaces the current one. */
    public boolean supersedes(ConfigurationVersion candidate, ConfigurationVersion current) {
        return candidate.compareTo(current) > 0;
    }

    /** Whether another control server is asked periodically which version it holds. */
    public boolean comparesServers() {
        return true;
    }

    /** Whether far control servers are called only after all near ones have failed. */
    public boolean prefersNearServers() {
        return true;
    }

    /** Whether another control server is called after one has failed. */
    public boolean failsOver() {
        return true;
    }

    /** Whether a failed call is followed by a delay. */
    public boolean backsOff() {
        return true;
    }

    /**
     * The longest delay before the next call, in ticks.
     *
     * @param retryTicks the configured maximum delay
     * @param consecutiveFailures calls that failed in a row; at least 1
     */
    public long maxBackoffTicks(long retryTicks, int consecutiveFailures) {
        return retryTicks;
    }

    /** Whether delays are randomised. */
    public boolean jitters() {
        return true;
    }

    /**
     * After how many ticks without a line a watch counts as lost.
     *
     * @param defaultTicks the production value
     */
    public long silenceTimeoutTicks(long defaultTicks) {
        return defaultTicks;
    }

    /**
     * Whether a version is validated before it is put into force, and rejected if it is invalid.
     */
    public boolean validates() {
        return true;
    }

    /** Whether the version in force is stored for the next process. */
    public boolean persists() {
        return true;
    }
}
