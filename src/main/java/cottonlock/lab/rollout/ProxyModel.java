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
 * A proxy in virtual time: {@link ConfigurationRollout} as it serves, carried as {@code
 * cottonlock.proxy.control.RolloutActor} does on sockets: one thread, one watch, and a second
 * connection during a comparison.
 */
@Deterministic
final class ProxyModel {
    private static final long SECOND = 10_000;

    /**
     * Bytes, those of TCP and IP among them, sent and received: a connection's begin and end with
     * the call and the answer's head; a line that tells a number; an empty line.
     */
    private static final int CALL_BYTES = 7 * 40 + 170 + 70;

    private static final int LINE_BYTES = 80 + 75;
    private static final int BEAT_BYTES = 80 + 6;

    /** What a version does where it is tried. */
    interface Content {
        /** Why a version can't be used; null: it can. */
        String fault(ConfigurationVersion version);

        int bytes(ConfigurationVersion version);
    }

    final int zone;
    private final World world;
    private final Links links;
    private final List<ControlModel> near;
    private final RolloutConfig plan;
    private final Content content;
    private final RolloutVariants habits;
    private final SplittableRandom chance;

    /** Called at each change of what is in force. */
    private final Runnable changed;

    private ConfigurationRollout rollout;

    /** On its disk. */
    private ConfigurationVersion kept = ConfigurationVersion.NONE;

    private ConfigurationVersion inForce = ConfigurationVersion.NONE;
    private boolean alive;
    private boolean paused;
    private Connection watch;
    private Connection compare;
    private long lineAt;
    private long looksAt = Long.MAX_VALUE;
    private final List<Runnable> heldBack = new ArrayList<>();
    private int life;
    private int wentBack;
    private ConfigurationVersion highest = ConfigurationVersion.NONE;
    private boolean harmed;
    private int judged;
    private long bytes;
    private long second;
    private long inSecond;
    private long worst;

    ProxyModel(
            int zone,
            World world,
            Links links,
            List<ControlModel> nearFirst,
            RolloutConfig plan,
            Content content,
            RolloutVariants habits,
            Runnable changed) {
        this.zone = zone;
        this.world = world;
        this.links = links;
        this.near = nearFirst;
        this.plan = plan;
        this.content = content;
        this.habits = habits;
        this.chance = world.chance().split();
        this.changed = changed;
    }

    /** One connection to a control machine; what comes after it was left counts for nothing. */
    private final class Connection implements ControlModel.Caller {
        final ControlModel machine;
        final int number;
        final boolean watches;
        boolean over;

        Connection(int number, boolean watches) {
            this.machine = near.get(number);
            this.number = number;
            this.watches = watches;
        }

        @Override
        public int zone() {
            return zone;
        }

        void open(long limit) {
            count(CALL_BYTES);
            ConfigurationVersion has = rollout.requestedFrom();
            // A first packet is sent again after a second, beyond any limit here.
            if (!links.cut(zone, machine.zone)) {
                world.at(
                        world.now() + 3 * links.delay(zone, machine.zone),
                        () -> machine.called(this, has, watches));
            }
            world.at(
                    world.now() + limit,
                    () -> {
                        if (!over && (!watches || lineAt < 0)) {
                            ended();
                        }
                    });
        }

        @Override
        public void line(ConfigurationVersion version, boolean whole) {
            inOrder(
                    this,
                    () -> {
                        if (over || (watches && version == null && lineAt < 0)) {
                            return;
                        }
                        count(
                                version == null
                                        ? BEAT_BYTES
                                        : LINE_BYTES + (whole ? content.bytes(version) : 0));
                        if (whole && machine.halves() && habits.validates()) {
                            // What is told is not what its digest names: no version at all.
                            ended();
                            return;
                        }
                        if (watches) {
                            lineAt = world.now();
                            silentFrom(lineAt);
                        }
                        if (version != null && watches) {
                            heard(version, whole, machine.halves());
                        } else if (version != null) {
                            rollout.comparisonAnswered(world.now(), number, version);
                        }
                        if (watches) {
                            between();
                        } else {
                            close();
                        }
                    });
        }

        private void silentFrom(long at) {
            long silence = habits.silenceTimeoutTicks(ConfigurationRollout.SILENCE_TIMEOUT_TICKS);
            world.at(
                    at + silence,
                    () ->
                            inOrder(
                                    this,
                                    () -> {
                                        if (!over && lineAt == at) {
                                            ended();
                                        }
                                    }));
        }

        @Override
        public void ended() {
            inOrder(
                    this,
                    () -> {
                        if (!over) {
                            close();
                            if (watches) {
                                rollout.watchFailed(world.now());
                                dial();
                            } else {
                                rollout.comparisonFailed();
                            }
                        }
                    });
        }

        void close() {
            over = true;
            machine.left(this);
            if (!watches) {
                compare = null;
                release();
                between();
            }
        }
    }

    /** Its thread does nothing while it is stopped, and reads no watch during a comparison. */
    private void inOrder(Connection on, Runnable task) {
        int now = life;
        if (paused || (compare != null && on.watches)) {
            heldBack.add(
                    () -> {
                        if (life == now) {
                            inOrder(on, task);
                        }
                    });
        } else if (alive) {
            task.run();
        }
    }

    private void release() {
        List<Runnable> all = List.copyOf(heldBack);
        heldBack.clear();
        all.forEach(Runnable::run);
    }

    private void heard(ConfigurationVersion version, boolean whole, boolean half) {
        if (!rollout.versionAnnounced(world.now(), version) || !whole) {
            return;
        }
        judged++;
        String fault = half ? "half of it" : content.fault(version);
        if (fault != null && habits.validates()) {
            rollout.rejected(version);
            return;
        }
        harmed |= fault != null;
        rollout.applied(version);
        inForce = version;
        kept = habits.persists() ? version : kept;
        note();
    }

    private void note() {
        if (inForce.compareTo(highest) < 0) {
            wentBack++;
        } else {
            highest = inForce;
        }
        changed.run();
    }

    private void between() {
        if (watch == null || watch.over) {
            return;
        }
        if (rollout.shouldMigrate(world.now())) {
            watch.close();
            rollout.watchMigrated(world.now());
            dial();
            return;
        }
        int other = compare == null ? rollout.nextComparison(world.now()) : -1;
        if (other >= 0) {
            compare = new Connection(other, false);
            compare.open(plan.callTimeoutTicks());
            return;
        }
        Connection mine = watch;
        long at = rollout.nextCheckAtTicks();
        if (at > world.now() && at < looksAt) {
            looksAt = at;
            world.at(
                    at,
                    () ->
                            inOrder(
                                    mine,
                                    () -> {
                                        looksAt = Long.MAX_VALUE;
                                        if (watch == mine) {
                                            between();
                                        }
                                    }));
        }
    }

    private void dial() {
        looksAt = Long.MAX_VALUE;
        WatchAttempt call = rollout.nextWatch(world.now());
        lineAt = -1;
        Connection mine = new Connection(call.server(), true);
        watch = mine;
        int now = life;
        world.at(
                call.startAtTicks(),
                () -> {
                    if (life == now) {
                        inOrder(mine, () -> mine.open(call.timeoutTicks()));
                    }
                });
    }

    void start() {
        alive = true;
        life++;
        heldBack.clear();
        inForce = kept;
        rollout = new ConfigurationRollout(world.now(), plan, kept, chance.split(), habits);
        note();
        dial();
    }

    /** Its process ends; what it has on its disk stays. */
    void kill() {
        alive = false;
        life++;
        if (watch != null) {
            watch.close();
        }
        if (compare != null) {
            compare.close();
        }
    }

    /** Stopped for a time: when it wakes, all between have forgotten its connection. */
    void pause(boolean stop) {
        paused = stop;
        if (stop) {
            watch.machine.left(watch);
        } else {
            release();
        }
    }

    private void count(int more) {
        if (world.now() / SECOND != second) {
            second = world.now() / SECOND;
            inSecond = 0;
        }
        inSecond += more;
        bytes += more;
        worst = Math.max(worst, inSecond);
    }

    ConfigurationVersion inForce() {
        return inForce;
    }

    RolloutStatus figures() {
        return rollout.status();
    }

    /** How often it held less than it had held before. */
    int wentBack() {
        return wentBack;
    }

    /** Whether a version came into force that can't be used. */
    boolean harmed() {
        return harmed;
    }

    /** How many versions were judged. */
    int judged() {
        return judged;
    }

    long bytes() {
        return bytes;
    }

    long worstSecond() {
        long most = worst;
        worst = 0;
        return most;
    }
}
