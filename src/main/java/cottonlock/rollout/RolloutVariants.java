package cottonlock.rollout;

import cottonlock.core.Deterministic;

/**
 * The choices on which it rests that a change comes into force; tests put wrong ones in their
 * place.
 */
@Deterministic
public class RolloutVariants {
    /** What holds. */
    public static final RolloutVariants USUAL = new RolloutVariants();

    /** Whether one version holds in place of another. */
    public boolean outweighs(ConfigurationVersion one, ConfigurationVersion other) {
        return one.compareTo(other) > 0;
    }

    /** Whether a second control machine is asked what it holds. */
    public boolean compares() {
        return true;
    }

    /** Whether far control machines are called only where no near one answers. */
    public boolean nearFirst() {
        return true;
    }

    /** Whether another control machine is called where one has failed. */
    public boolean movesOn() {
        return true;
    }

    /** Whether calls that fail are followed by a wait. */
    public boolean paces() {
        return true;
    }

    /** The longest wait after so many calls that failed. */
    public long longestWait(long retry, int failures) {
        return retry;
    }

    /** Whether waits are drawn by chance. */
    public boolean spreads() {
        return true;
    }

    /** Whether a watch without a line for this long is taken for lost; tenths of a millisecond. */
    public long silence(long usual) {
        return usual;
    }

    /**
     * Whether a version is tried to the side, and refused where that fails, before it is in force.
     */
    public boolean tries() {
        return true;
    }

    /** Whether the version in force is kept for the next process. */
    public boolean keeps() {
        return true;
    }
}
