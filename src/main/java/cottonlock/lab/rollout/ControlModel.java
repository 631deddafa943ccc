package cottonlock.lab.rollout;

import cottonlock.core.Deterministic;
import cottonlock.lab.world.World;
import cottonlock.rollout.ConfigurationVersion;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * A simulated control server: announces the highest configuration version that it knows to its
 * watches, and answers calls with it. It handles one thing at a time and refuses calls while its
 * backlog is too long. The service times are assumed, not measured.
 */
@Deterministic
final class ControlModel {
    /** Service time of an answered call. */
    private static final long CALL_TICKS = 50;

    /** Service time of a refused call. */
    private static final long REFUSAL_TICKS = 5;

    /** Service time of one line to one watch. */
    private static final double LINE_TICKS = 0.5;

    /** Calls are refused while the backlog of work is longer than this. */
    private static final long MAX_BACKLOG_TICKS = 2_000;

    private static final long HEARTBEAT_TICKS = 20_000;
    private static final long TICKS_PER_SECOND = 10_000;

    /** The calling side of a connection. */
    interface Caller {
        int zone();

        /**
         * A line has arrived: a version, or null for an empty line, a heartbeat. Its content is
         * missing where the call asked for the number only, or named this version or a higher one.
         */
        void onLine(ConfigurationVersion version, boolean withContent);

        /** The connection has ended or was refused. */
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

    /** The most calls in any second since {@link #takeMaxCallsPerSecond}. */
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

    /**
     * Takes over a version that is higher than the one held and sends it to all watches, unless the
     * server is frozen or down.
     */
    void receiveVersion(ConfigurationVersion version) {
        if (!down && !frozen && version.compareTo(heldVersion) > 0) {
            heldVersion = version;
            for (Caller watch : watches) {
                sendVersion(watch, version, true, Math.max(1, (long) (LINE_TICKS * slowdown)));
            }
        }
    }

    /** Sets whether the server learns of no new versions. */
    void setFrozen(boolean on) {
        frozen = on;
    }

    /**
     * Sets whether the server sends only half of each version's content, which then does not match
     * its digest.
     */
    void setTruncating(boolean on) {
        truncating = on;
    }

    boolean isTruncating() {
        return truncating;
    }

    /** Multiplies all service times. */
    void setSlowdown(long times) {
        slowdown = times;
    }

    /** Stops the server, which ends all watches, or starts it again. */
    void setDown(boolean off) {
        down = off;
        if (off) {
            dropWatches();
        }
    }

    boolean isDown() {
        return down;
    }

    /** Ends all watches. */
    void dropWatches() {
        List<Caller> all = new ArrayList<>(watches);
        watches.clear();
        all.forEach(w -> links.carry(zone, w.zone(), w::onEnded, w::onEnded));
    }

    /**
     * Handles a call: either a watch, which names the version that the caller has, or a request for
     * the version held here.
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

    /** Sends a version to a caller after some ticks of work, which add to the backlog. */
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

    /** Removes a caller that has closed its connection or can't be reached. */
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

    /** Returns the most calls in any second since the previous call of this method. */
    int takeMaxCallsPerSecond() {
        int max = maxCallsInSecond;
        maxCallsInSecond = 0;
        return max;
    }
}
