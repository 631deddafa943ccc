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
 * <p>Its driver keeps one watch, on the server that {@link #nextWatch} names, and reports what
 * comes of it: {@link #versionAnnounced}, {@link #watchFailed}. Between lines, and at {@link
 * #nextCheckAtTicks}, it asks {@link #shouldMigrate} and {@link #nextComparison}. A version that is
 * to be validated ends as {@link #applied} or {@link #rejected}.
 *
 * <p>Invariants: the version in force only ever rises; a rejected version is not validated again
 * while it is remembered. Times are ticks of 0.1 ms and never go back. Not thread-safe.
 */
@Deterministic
public final class ConfigurationRollout {
    /**
     * A watch without a line for this long is lost. Control servers send an empty line every two
     * seconds.
     */
    public static final long SILENCE_TIMEOUT_TICKS = 40_000;

    /** Control servers learn of each other's versions within this time. */
    private static final long SERVER_PROPAGATION_TICKS = 5_000;

    /** How many rejected versions are remembered. */
    private static final int MAX_REMEMBERED_REJECTIONS = 16;

    /** In fields with a time: the condition does not hold. */
    private static final long NOT_SET = -1;

    /** A planned move of the watch to a server that has announced a higher version. */
    private record Migration(int server, ConfigurationVersion version, long dueAtTicks) {}

    private final RolloutConfig config;
    private final RolloutVariants variants;
    private final ControlServerSelector serverSelector;
    private final Jitter jitter;

    private ConfigurationVersion inForce;
    private ConfigurationVersion highestKnown;

    /** The oldest first. */
    private final Set<ConfigurationVersion> rejectedVersions = new LinkedHashSet<>();

    private ConfigurationVersion highestRejected = ConfigurationVersion.NONE;

    private long behindSinceTicks = NOT_SET;
    private long disconnectedSinceTicks;
    private long serverStaleSinceTicks = NOT_SET;
    private long rejectedCount;
    private long callCount;
    private long failureCount;

    /** Since when the current watch is established. */
    private long establishedAtTicks = NOT_SET;

    /** What the watched server announced last; null before its first line. */
    private ConfigurationVersion announcedByWatched;

    private long compareAtTicks;

    /** Null while the watch stays where it is. */
    private Migration migration;

    /**
     * Starts with the safeguards of production.
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

    /** The same with other safeguards, for tests. */
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

    /** The watch to open next; the driver must make that call. */
    public WatchAttempt nextWatch(long nowTicks) {
        callCount++;
        establishedAtTicks = NOT_SET;
        announcedByWatched = null;
        serverStaleSinceTicks = NOT_SET;
        migration = null;
        return serverSelector.nextAttempt(nowTicks);
    }

    /** The version that a call names: control sends the content of higher versions alone. */
    public ConfigurationVersion requestedFrom() {
        return variants.supersedes(highestRejected, inForce) ? highestRejected : inForce;
    }

    /**
     * The watched server has announced a version, with or without its content.
     *
     * @return whether the content is to be validated, and {@link #applied} or {@link #rejected}
     *     called with the result
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

    /** A server named by {@link #nextComparison} has answered with the version that it holds. */
    public void comparisonAnswered(long nowTicks, int server, ConfigurationVersion version) {
        recordAnnouncement(nowTicks, version);
        boolean watchedIsBehind =
                server != serverSelector.current()
                        && announcedByWatched != null
                        && variants.supersedes(version, announcedByWatched);
        if (watchedIsBehind && !variants.supersedes(inForce, version)) {
            // Not at once: the watched server may just not have learned of the version yet.
            migration = new Migration(server, version, nowTicks + SERVER_PROPAGATION_TICKS);
        }
    }

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

    /** The version is valid, and all of it is in force. */
    public void applied(ConfigurationVersion version) {
        inForce = version;
        if (!variants.supersedes(highestKnown, inForce)) {
            behindSinceTicks = NOT_SET;
        }
    }

    /** The version is invalid: what was in force stays so. */
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

    /** Whether the watch is to be closed in favour of a server that holds a higher version. */
    public boolean shouldMigrate(long nowTicks) {
        return migration != null && nowTicks >= migration.dueAtTicks();
    }

    /** The watch was closed as {@link #shouldMigrate} asked. */
    public void watchMigrated(long nowTicks) {
        serverSelector.migrate(nowTicks, migration.server());
        establishedAtTicks = NOT_SET;
        disconnectedSinceTicks = nowTicks;
    }

    /** The watch has failed or could not be opened. */
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
     * The server that is to be asked now which version it holds, or -1 for none. The answer is
     * reported by {@link #comparisonAnswered}, its lack by {@link #comparisonFailed}.
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

    /** The server that was to be compared with has not answered. */
    public void comparisonFailed() {
        failureCount++;
    }

    /**
     * When {@link #shouldMigrate} and {@link #nextComparison} are to be asked next though no line
     * has come; {@link Long#MAX_VALUE} without an established watch.
     */
    public long nextCheckAtTicks() {
        if (establishedAtTicks == NOT_SET) {
            return Long.MAX_VALUE;
        }
        return migration == null
                ? compareAtTicks
                : Math.min(compareAtTicks, migration.dueAtTicks());
    }

    /** The present state, for metrics. */
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
