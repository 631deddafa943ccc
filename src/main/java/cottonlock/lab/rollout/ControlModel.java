package cottonlock.lab.rollout;

import cottonlock.core.Deterministic;
import cottonlock.lab.world.World;
import cottonlock.rollout.ConfigurationVersion;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * A control machine in virtual time: it tells the highest version that it knows, to watches as it
 * comes and to each call. It does one thing after the other; a call for which too much waits is
 * turned away. How long each takes is assumed, not measured.
 */
@Deterministic
final class ControlModel {
    /**
     * Tenths of a millisecond: a call that is answered, one that is turned away, one line to one
     * watch.
     */
    private static final long CALL_TICKS = 50;

    private static final long REFUSAL_TICKS = 5;
    private static final double LINE_TICKS = 0.5;

    /** So much may wait before calls are turned away. */
    private static final long MAX_BACKLOG_TICKS = 2_000;

    private static final long HEARTBEAT_TICKS = 20_000;
    private static final long TICKS_PER_SECOND = 10_000;

    /** The other side of a connection. */
    interface Caller {
        int zone();

        /** A version with its content, or without where the call named it; null: an empty line. */
        void onLine(ConfigurationVersion version, boolean withContent);

        /** The connection has ended, or was refused. */
        void onEnded();
    }

    final int number;
    final int zone;
    private final World world;
    private final Links links;
    private final Set<Caller> watches = new LinkedHashSet<>();
    private ConfigurationVersion heldVersion = ConfigurationVersion.NONE;
    private boolean down;
    private boolean frozen;
    private boolean truncating;
    private long slowdown = 1;
    private long busyUntil;
    private long currentSecond = -1;
    private int callsInSecond;

    /** The most calls of any second since it was last asked. */
    private int maxCallsInSecond;

    ControlModel(int number, int zone, World world, Links links) {
        this.number = number;
        this.zone = zone;
        this.world = world;
        this.links = links;
        world.at(world.chance().nextLong(HEARTBEAT_TICKS), this::sendHeartbeats);
    }

    ConfigurationVersion heldVersion() {
        return heldVersion;
    }

    /** It hears of a version; one that lies behind does not. */
    void announce(ConfigurationVersion version) {
        if (!down && !frozen && version.compareTo(heldVersion) > 0) {
            heldVersion = version;
            for (Caller watch : watches) {
                sendVersion(watch, version, true, Math.max(1, (long) (LINE_TICKS * slowdown)));
            }
        }
    }

    /** Lies behind: it hears nothing new. */
    void setFrozen(boolean on) {
        frozen = on;
    }

    /** Tells half of each version: what it tells has not the digest that is told with it. */
    void setTruncating(boolean on) {
        truncating = on;
    }

    boolean isTruncating() {
        return truncating;
    }

    /** All that it does takes so many times longer. */
    void setSlowdown(long times) {
        slowdown = times;
    }

    void setDown(boolean off) {
        down = off;
        if (off) {
            dropWatches();
        }
    }

    boolean isDown() {
        return down;
    }

    /** Ends all its watches. */
    void dropWatches() {
        List<Caller> all = new ArrayList<>(watches);
        watches.clear();
        all.forEach(w -> links.carry(zone, w.zone(), w::onEnded, w::onEnded));
    }

    /**
     * A call has come, for a watch that names what it has, or for the number of what is held here.
     */
    void onCall(Caller caller, ConfigurationVersion has, boolean watch) {
        long now = world.now();
        if (now / TICKS_PER_SECOND != currentSecond) {
            currentSecond = now / TICKS_PER_SECOND;
            callsInSecond = 0;
        }
        maxCallsInSecond = Math.max(maxCallsInSecond, ++callsInSecond);
        if (down || busyUntil - now > MAX_BACKLOG_TICKS) {
            if (!down) {
                busyUntil += REFUSAL_TICKS * slowdown;
            }
            links.carry(zone, caller.zone(), caller::onEnded, caller::onEnded);
            return;
        }
        busyUntil = Math.max(now, busyUntil) + CALL_TICKS * slowdown;
        world.at(
                busyUntil,
                () -> {
                    if (down) {
                        links.carry(zone, caller.zone(), caller::onEnded, caller::onEnded);
                        return;
                    }
                    if (watch) {
                        watches.add(caller);
                    }
                    sendVersion(caller, heldVersion, watch && heldVersion.compareTo(has) > 0, 0);
                });
    }

    private void sendVersion(
            Caller caller, ConfigurationVersion version, boolean withContent, long workTicks) {
        busyUntil = Math.max(world.now(), busyUntil) + workTicks;
        world.at(
                workTicks == 0 ? world.now() : busyUntil,
                () ->
                        links.carry(
                                zone,
                                caller.zone(),
                                () -> caller.onLine(version, withContent),
                                () -> removeWatch(caller)));
    }

    /** A caller has closed its connection, or can't be reached. */
    void removeWatch(Caller caller) {
        watches.remove(caller);
    }

    private void sendHeartbeats() {
        for (Caller watch : List.copyOf(watches)) {
            if (!links.cut(zone, watch.zone())) {
                watch.onLine(null, false);
            }
        }
        world.at(world.now() + HEARTBEAT_TICKS, this::sendHeartbeats);
    }

    int takeMaxCallsPerSecond() {
        int max = maxCallsInSecond;
        maxCallsInSecond = 0;
        return max;
    }
}
