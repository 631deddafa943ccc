package cottonlock.rollout;

import cottonlock.core.Deterministic;

/**
 * A snapshot of a rollout, for metrics. Times are ticks; -1 means that the condition does not hold.
 *
 * @param inForce the version in force; {@link ConfigurationVersion#NONE} while the settings of the
 *     configuration file are in force
 * @param highestKnown the highest version that any control server has announced
 * @param behindSinceTicks since when a version higher than the one in force is known
 * @param disconnectedSinceTicks since when no control server is watched
 * @param serverStaleSinceTicks since when the watched server has announced a version lower than the
 *     highest known one
 * @param rejectedCount versions that were rejected
 * @param callCount calls to control servers, comparisons included
 * @param failureCount calls and watches that failed
 */
@Deterministic
public record RolloutStatus(
        ConfigurationVersion inForce,
        ConfigurationVersion highestKnown,
        long behindSinceTicks,
        long disconnectedSinceTicks,
        long serverStaleSinceTicks,
        long rejectedCount,
        long callCount,
        long failureCount) {}
