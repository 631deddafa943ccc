package cottonlock.lab.rollout;

import cottonlock.core.Deterministic;
import cottonlock.lab.world.World;
import cottonlock.rollout.ConfigurationRollout;
import cottonlock.rollout.ConfigurationVersion;
import cottonlock.rollout.RolloutStatus;
import cottonlock.rollout.RolloutVariants;
import cottonlock.rollout.WatchAttempt;
import cottonlock.setup.RolloutConfig;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * A simulated proxy: the production {@link ConfigurationRollout}, driven as {@code
 * cottonlock.proxy.control.RolloutActor} drives it on sockets: with one thread, one watch, and a
 * second connection during a comparison.
 */
@Deterministic
final class ProxyModel {
    private static final long TICKS_PER_SECOND = 10_000;

    /**
     * Bytes sent and received for a call, with TCP and IP headers: connection set-up and close, the
     * call, and the head of the response.
     */
    private static final int CALL_BYTES = 7 * 40 + 170 + 70;

    /** Bytes for a line with a version's number, with headers and acknowledgement. */
    private static final int LINE_BYTES = 80 + 75;

    /** Bytes for an empty line, with headers and acknowledgement. */
    private static final int HEARTBEAT_BYTES = 80 + 6;

    /** The validity and the size of versions. */
    interface Content {
        /** Why a version can't be used; null if it can. */
        String fault(ConfigurationVersion version);

        int bytes(ConfigurationVersion version);
    }

    final int zone;
    private final World world;
    private final Links links;
    private final List<ControlModel> controlServers;
    private final RolloutConfig config;
    private final Content content;
    private final RolloutVariants variants;
    private final SplittableRandom random;

    /** Called whenever the version in force may have changed. */
    private final Runnable onChange;

    private ConfigurationRollout rollout;

    /** The version on disk; survives a restart. */
    private ConfigurationVersion storedVersion = ConfigurationVersion.NONE;

    private ConfigurationVersion inForce = ConfigurationVersion.NONE;
    private boolean alive;
    private boolean paused;
    private Connection watch;
    private Connection comparison;
    private long lastLineAt;
    private long nextCheckAt = Long.MAX_VALUE;
    private final List<Runnable> deferredTasks = new ArrayList<>();
    private int startCount;
    private int wentBackCount;
    private ConfigurationVersion highestVersion = ConfigurationVersion.NONE;
    private boolean unusableInForce;
    private int validatedCount;
    private long bytes;
    private long currentSecond;
    private long bytesInSecond;
    private long maxBytesInSecond;

    ProxyModel(
            int zone,
            World world,
            Links links,
            List<ControlModel> nearFirst,
            RolloutConfig config,
            Content content,
            RolloutVariants variants,
            Runnable onChange) {
        this.zone = zone;
        this.world = world;
        this.links = links;
        this.controlServers = nearFirst;
        this.config = config;
        this.content = content;
        this.variants = variants;
        this.random = world.chance().split();
        this.onChange = onChange;
    }

    /** One connection to a control server. Whatever arrives after it is closed is ignored. */
    private final class Connection implements ControlModel.Caller {
        final ControlModel server;
        final int number;
        final boolean watches;
        boolean closed;

        Connection(int number, boolean watches) {
            this.server = controlServers.get(number);
            this.number = number;
            this.watches = watches;
        }

        @Override
        public int zone() {
            return zone;
        }

        void open(long limit) {
            countBytes(CALL_BYTES);
            ConfigurationVersion has = rollout.requestedFrom();
            // A lost SYN is retransmitted after a second, which is beyond any timeout here.
            if (!links.cut(zone, server.zone)) {
                world.at(
                        world.now() + 3 * links.delay(zone, server.zone),
                        () -> server.onCall(this, has, watches));
            }
            world.at(
                    world.now() + limit,
                    () -> {
                        if (!closed && (!watches || lastLineAt < 0)) {
                            onEnded();
                        }
                    });
        }

        @Override
        public void onLine(ConfigurationVersion version, boolean withContent) {
            runInOrder(
                    this,
                    () -> {
                        if (closed || (watches && version == null && lastLineAt < 0)) {
                            return;
                        }
                        countBytes(
                                version == null
                                        ? HEARTBEAT_BYTES
                                        : LINE_BYTES + (withContent ? content.bytes(version) : 0));
                        if (withContent && server.isTruncating() && variants.validates()) {
                            // The content does not match its digest, so this is not a version.
                            onEnded();
                            return;
                        }
                        if (watches) {
                            lastLineAt = world.now();
                            scheduleSilenceCheck(lastLineAt);
                        }
                        if (version != null && watches) {
                            versionReceived(version, withContent, server.isTruncating());
                        } else if (version != null) {
                            rollout.comparisonAnswered(world.now(), number, version);
                        }
                        if (watches) {
                            checkServers();
                        } else {
                            close();
                        }
                    });
        }

        /** Ends the watch unless another line arrives within the silence timeout. */
        private void scheduleSilenceCheck(long at) {
            long silence = variants.silenceTimeoutTicks(ConfigurationRollout.SILENCE_TIMEOUT_TICKS);
            world.at(
                    at + silence,
                    () ->
                            runInOrder(
                                    this,
                                    () -> {
                                        if (!closed && lastLineAt == at) {
                                            onEnded();
                                        }
                                    }));
        }

        @Override
        public void onEnded() {
            runInOrder(
                    this,
                    () -> {
                        if (!closed) {
                            close();
                            if (watches) {
                                rollout.watchFailed(world.now());
                                openWatch();
                            } else {
                                rollout.comparisonFailed();
                            }
                        }
                    });
        }

        void close() {
            closed = true;
            server.removeWatch(this);
            if (!watches) {
                comparison = null;
                runDeferredTasks();
                checkServers();
            }
        }
    }

    /**
     * Runs a task, or defers it: a paused process does nothing, and the watch is not read during a
     * comparison.
     */
    private void runInOrder(Connection on, Runnable task) {
        int now = startCount;
        if (paused || (comparison != null && on.watches)) {
            deferredTasks.add(
                    () -> {
                        if (startCount == now) {
                            runInOrder(on, task);
                        }
                    });
        } else if (alive) {
            task.run();
        }
    }

    private void runDeferredTasks() {
        List<Runnable> all = List.copyOf(deferredTasks);
        deferredTasks.clear();
        all.forEach(Runnable::run);
    }

    /** Validates an announced version and brings it into force. */
    private void versionReceived(
            ConfigurationVersion version, boolean withContent, boolean truncated) {
        if (!rollout.versionAnnounced(world.now(), version) || !withContent) {
            return;
        }
        validatedCount++;
        String fault = truncated ? "half of it" : content.fault(version);
        if (fault != null && variants.validates()) {
            rollout.rejected(version);
            return;
        }
        unusableInForce |= fault != null;
        rollout.applied(version);
        inForce = version;
        storedVersion = variants.persists() ? version : storedVersion;
        recordVersion();
    }

    /** Updates the records after a version has come into force. */
    private void recordVersion() {
        if (inForce.compareTo(highestVersion) < 0) {
            wentBackCount++;
        } else {
            highestVersion = inForce;
        }
        onChange.run();
    }

    /** Migrates the watch or starts a comparison if one is due; else schedules the next check. */
    private void checkServers() {
        if (watch == null || watch.closed) {
            return;
        }
        if (rollout.shouldMigrate(world.now())) {
            watch.close();
            rollout.watchMigrated(world.now());
            openWatch();
            return;
        }
        int other = comparison == null ? rollout.nextComparison(world.now()) : -1;
        if (other >= 0) {
            comparison = new Connection(other, false);
            comparison.open(config.callTimeoutTicks());
            return;
        }
        Connection mine = watch;
        long at = rollout.nextCheckAtTicks();
        if (at > world.now() && at < nextCheckAt) {
            nextCheckAt = at;
            world.at(
                    at,
                    () ->
                            runInOrder(
                                    mine,
                                    () -> {
                                        nextCheckAt = Long.MAX_VALUE;
                                        if (watch == mine) {
                                            checkServers();
                                        }
                                    }));
        }
    }

    private void openWatch() {
        nextCheckAt = Long.MAX_VALUE;
        WatchAttempt call = rollout.nextWatch(world.now());
        lastLineAt = -1;
        Connection mine = new Connection(call.server(), true);
        watch = mine;
        int now = startCount;
        world.at(
                call.startAtTicks(),
                () -> {
                    if (startCount == now) {
                        runInOrder(mine, () -> mine.open(call.timeoutTicks()));
                    }
                });
    }

    void start() {
        alive = true;
        startCount++;
        deferredTasks.clear();
        inForce = storedVersion;
        rollout =
                new ConfigurationRollout(
                        world.now(), config, storedVersion, random.split(), variants);
        recordVersion();
        openWatch();
    }

    /** Kills the process; the version on disk stays. */
    void kill() {
        alive = false;
        startCount++;
        if (watch != null) {
            watch.close();
        }
        if (comparison != null) {
            comparison.close();
        }
    }

    /**
     * Suspends or resumes the process. On suspension the control server drops the watch: by the
     * time the process resumes, the network has lost the state of its connection.
     */
    void pause(boolean stop) {
        paused = stop;
        if (stop) {
            watch.server.removeWatch(watch);
        } else {
            runDeferredTasks();
        }
    }

    private void countBytes(int more) {
        if (world.now() / TICKS_PER_SECOND != currentSecond) {
            currentSecond = world.now() / TICKS_PER_SECOND;
            bytesInSecond = 0;
        }
        bytesInSecond += more;
        bytes += more;
        maxBytesInSecond = Math.max(maxBytesInSecond, bytesInSecond);
    }

    ConfigurationVersion inForce() {
        return inForce;
    }

    RolloutStatus status() {
        return rollout.status();
    }

    /** How often a version came into force that is lower than an earlier one. */
    int wentBackCount() {
        return wentBackCount;
    }

    /** Whether a version that can't be used ever came into force. */
    boolean hadUnusableInForce() {
        return unusableInForce;
    }

    /** How many versions were validated. */
    int validatedCount() {
        return validatedCount;
    }

    long bytes() {
        return bytes;
    }

    /** Returns the most bytes in any second since the previous call of this method. */
    long takeMaxBytesPerSecond() {
        long max = maxBytesInSecond;
        maxBytesInSecond = 0;
        return max;
    }
}
