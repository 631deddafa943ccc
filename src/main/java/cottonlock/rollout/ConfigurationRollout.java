package cottonlock.rollout;

import cottonlock.core.Deterministic;
import cottonlock.setup.RolloutConfig;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * The state machine of one proxy's configuration: which version is in force, which control server
 * is watched, and when the watch moves to another server.
 *
 * <p>Its driver keeps one watch open, on the server that {@link #nextWatch} returns, and reports
 * its events with {@link #versionAnnounced} and {@link #watchFailed}. Between lines, and at {@link
 * #nextCheckAtTicks}, it calls {@link #shouldMigrate} and {@link #nextComparison}. The validation
 * of a version ends with a call of {@link #applied} or {@link #rejected}.
 *
 * <p>Invariants: the version in force never decreases; a rejected version is not validated again
 * while it is remembered. Times are ticks of 0.1 ms and never decrease. Not thread-safe.
 */
@Deterministic
public final class ConfigurationRollout {
    /**
     * A watch on which no line has arrived for this long counts as lost. Control servers send an
     * empty line every two seconds.
     */
    public static final long SILENCE_TIMEOUT_TICKS = 40_000;

    /** Time within which a version published on one control server reaches the others. */
    private static final long SERVER_PROPAGATION_TICKS = 5_000;

    /** Number of rejected versions that are remembered; the oldest is forgotten first. */
    private static final int MAX_REMEMBERED_REJECTIONS = 16;

    /** Value of a time field while its condition does not hold. */
    private static final long NOT_SET = -1;

    /** A planned move of the watch to a server that has announced a higher version. */
    private record Migration(int server, ConfigurationVersion version, long dueAtTicks) {}

    private final RolloutConfig config;
    private final RolloutVariants variants;
    private final ControlServerSelector serverSelector;
    private final Jitter jitter;

    private ConfigurationVersion inForce;
    private ConfigurationVersion highestKnown;

    /** Remembered rejected versions, the oldest first. */
    private final Set<ConfigurationVersion> rejectedVersions = new LinkedHashSet<>();

    private ConfigurationVersion highestRejected = ConfigurationVersion.NONE;

    private long behindSinceTicks = NOT_SET;
    private long disconnectedSinceTicks;
    private long serverStaleSinceTicks = NOT_SET;
    private long rejectedCount;
    private long callCount;
    private long failureCount;

    /** When the current watch announced its first version. */
    private long establishedAtTicks = NOT_SET;

    /** The version that the watched server announced last; null before the first. */
    private ConfigurationVersion announcedByWatched;

    private long compareAtTicks;

    /** Null if no move of the watch is planned. */
    private Migration migration;

    /**
     * Creates a rollout with all safeguards on.
     *
     * @param stored the version that an earlier process stored, or {@link
     *     ConfigurationVersion#NONE}
     */
    public ConfigurationRollout(
            long nowTicks,
            RolloutConfig config,
            ConfigurationVersion stored,
            SplittableRandom random) {
        this(nowTicks, config, stored, random, RolloutVariants.DEFAULT);
    }

    /** Creates a rollout with the given safeguards, for tests. */
    public ConfigurationRollout(
            long nowTicks,
            RolloutConfig config,
            ConfigurationVersion stored,
            SplittableRandom random,
            RolloutVariants variants) {
        this.config = config;
        this.variants = variants;
        this.serverSelector = new ControlServerSelector(nowTicks, config, random, variants);
        this.jitter = new Jitter(random, variants.jitters());
        this.inForce = stored;
        this.highestKnown = stored;
        this.disconnectedSinceTicks = nowTicks;
    }

    /** Returns the watch to open next. The driver must open it: it is counted as a call. */
    public WatchAttempt nextWatch(long nowTicks) {
        callCount++;
        establishedAtTicks = NOT_SET;
        announcedByWatched = null;
        serverStaleSinceTicks = NOT_SET;
        migration = null;
        return serverSelector.nextAttempt(nowTicks);
    }

    /**
     * Returns the version to name in a watch request: the control server sends content only for
     * higher versions. It may be a rejected one, so that its content is not sent again.
     */
    public ConfigurationVersion requestedFrom() {
        return variants.supersedes(highestRejected, inForce) ? highestRejected : inForce;
    }

    /**
     * Called when the watched server has announced a version, with or without its content.
     *
     * @return whether the driver must validate the content and report the result with {@link
     *     #applied} or {@link #rejected}
     */
    public boolean versionAnnounced(long nowTicks, ConfigurationVersion version) {
        if (establishedAtTicks == NOT_SET) {
            establishedAtTicks = nowTicks;
            disconnectedSinceTicks = NOT_SET;
            compareAtTicks = nowTicks + jitter.around(config.comparisonIntervalTicks());
        }
        announcedByWatched = version;
        if (migration != null && !variants.supersedes(migration.version(), version)) {
            migration = null;
        }
        recordAnnouncement(nowTicks, version);
        return variants.supersedes(version, inForce) && !rejectedVersions.contains(version);
    }

    /** Called when a server returned by {@link #nextComparison} has answered with its version. */
    public void comparisonAnswered(long nowTicks, int server, ConfigurationVersion version) {
        recordAnnouncement(nowTicks, version);
        boolean watchedIsBehind =
                server != serverSelector.current()
                        && announcedByWatched != null
                        && variants.supersedes(version, announcedByWatched);
        if (watchedIsBehind && !variants.supersedes(inForce, version)) {
            // Delayed, since the version may still be propagating to the watched server.
            migration = new Migration(server, version, nowTicks + SERVER_PROPAGATION_TICKS);
        }
    }

    /** Updates the highest known version, and since when the proxy and its server are behind. */
    private void recordAnnouncement(long nowTicks, ConfigurationVersion version) {
        if (variants.supersedes(version, highestKnown)) {
            highestKnown = version;
            behindSinceTicks = behindSinceTicks == NOT_SET ? nowTicks : behindSinceTicks;
        }
        if (announcedByWatched == null || !variants.supersedes(highestKnown, announcedByWatched)) {
            serverStaleSinceTicks = NOT_SET;
        } else if (serverStaleSinceTicks == NOT_SET) {
            serverStaleSinceTicks = nowTicks;
        }
    }

    /** Called when a valid version has been put into force completely. */
    public void applied(ConfigurationVersion version) {
        inForce = version;
        if (!variants.supersedes(highestKnown, inForce)) {
            behindSinceTicks = NOT_SET;
        }
    }

    /** Called when a version has proved invalid; the version in force stays. */
    public void rejected(ConfigurationVersion version) {
        rejectedCount++;
        rejectedVersions.add(version);
        if (rejectedVersions.size() > MAX_REMEMBERED_REJECTIONS) {
            rejectedVersions.remove(rejectedVersions.iterator().next());
        }
        if (variants.supersedes(version, highestRejected)) {
            highestRejected = version;
        }
    }

    /** Returns whether to close the watch and move to a server that holds a higher version. */
    public boolean shouldMigrate(long nowTicks) {
        return migration != null && nowTicks >= migration.dueAtTicks();
    }

    /** Called when the watch has been closed because {@link #shouldMigrate} returned true. */
    public void watchMigrated(long nowTicks) {
        serverSelector.migrate(nowTicks, migration.server());
        establishedAtTicks = NOT_SET;
        disconnectedSinceTicks = nowTicks;
    }

    /** Called when the watch has failed or could not be opened. */
    public void watchFailed(long nowTicks) {
        failureCount++;
        boolean wasStable =
                establishedAtTicks != NOT_SET
                        && nowTicks - establishedAtTicks >= SILENCE_TIMEOUT_TICKS;
        if (disconnectedSinceTicks == NOT_SET) {
            disconnectedSinceTicks = nowTicks;
        }
        serverSelector.recordFailure(nowTicks, wasStable);
        establishedAtTicks = NOT_SET;
    }

    /**
     * Returns the server to ask now which version it holds, or -1 for none. The driver reports its
     * answer with {@link #comparisonAnswered}, and a failure with {@link #comparisonFailed}.
     */
    public int nextComparison(long nowTicks) {
        boolean due = establishedAtTicks != NOT_SET && nowTicks >= compareAtTicks;
        if (!due || !serverSelector.hasOthers() || !variants.comparesServers()) {
            return ControlServerSelector.NO_SERVER;
        }
        callCount++;
        compareAtTicks = nowTicks + jitter.around(config.comparisonIntervalTicks());
        return serverSelector.randomOther();
    }

    /** Called when a server returned by {@link #nextComparison} has not answered. */
    public void comparisonFailed() {
        failureCount++;
    }

    /**
     * Returns when to call {@link #shouldMigrate} and {@link #nextComparison} next if no line
     * arrives before; {@link Long#MAX_VALUE} without an established watch.
     */
    public long nextCheckAtTicks() {
        if (establishedAtTicks == NOT_SET) {
            return Long.MAX_VALUE;
        }
        return migration == null
                ? compareAtTicks
                : Math.min(compareAtTicks, migration.dueAtTicks());
    }

    /** Returns the current state, for metrics. */
    public RolloutStatus status() {
        return new RolloutStatus(
                inForce,
                highestKnown,
                behindSinceTicks,
                disconnectedSinceTicks,
                serverStaleSinceTicks,
                rejectedCount,
                callCount,
                failureCount);
    }
}
