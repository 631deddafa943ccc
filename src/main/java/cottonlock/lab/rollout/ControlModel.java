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
    private static final long CALL = 50;

    private static final long AWAY = 5;
    private static final double LINE = 0.5;

    /** So much may wait before calls are turned away. */
    private static final long WAITS = 2_000;

    private static final long BEAT = 20_000;
    private static final long SECOND = 10_000;

    /** The other side of a connection. */
    interface Caller {
        int zone();

        /** A version with its content, or without where the call named it; null: an empty line. */
        void line(ConfigurationVersion version, boolean whole);

        /** The connection has ended, or was refused. */
        void ended();
    }

    final int number;
    final int zone;
    private final World world;
    private final Links links;
    private final Set<Caller> watches = new LinkedHashSet<>();
    private ConfigurationVersion held = ConfigurationVersion.NONE;
    private boolean down;
    private boolean frozen;
    private boolean halved;
    private long factor = 1;
    private long busyUntil;
    private long second = -1;
    private int inSecond;

    /** The most calls of any second since it was last asked. */
    private int worst;

    ControlModel(int number, int zone, World world, Links links) {
        this.number = number;
        this.zone = zone;
        this.world = world;
        this.links = links;
        world.at(world.chance().nextLong(BEAT), this::beat);
    }

    ConfigurationVersion held() {
        return held;
    }

    /** It hears of a version; one that lies behind does not. */
    void hear(ConfigurationVersion version) {
        if (!down && !frozen && version.compareTo(held) > 0) {
            held = version;
            for (Caller watch : watches) {
                tell(watch, version, true, Math.max(1, (long) (LINE * factor)));
            }
        }
    }

    /** Lies behind: it hears nothing new. */
    void freeze(boolean on) {
        frozen = on;
    }

    /** Tells half of each version: what it tells has not the digest that is told with it. */
    void halve(boolean on) {
        halved = on;
    }

    boolean halves() {
        return halved;
    }

    /** All that it does takes so many times longer. */
    void slow(long times) {
        factor = times;
    }

    void down(boolean off) {
        down = off;
        if (off) {
            drop();
        }
    }

    boolean isDown() {
        return down;
    }

    /** Ends all its watches. */
    void drop() {
        List<Caller> all = new ArrayList<>(watches);
        watches.clear();
        all.forEach(w -> links.carry(zone, w.zone(), w::ended, w::ended));
    }

    /**
     * A call has come, for a watch that names what it has, or for the number of what is held here.
     */
    void called(Caller caller, ConfigurationVersion has, boolean watch) {
        long now = world.now();
        if (now / SECOND != second) {
            second = now / SECOND;
            inSecond = 0;
        }
        worst = Math.max(worst, ++inSecond);
        if (down || busyUntil - now > WAITS) {
            if (!down) {
                busyUntil += AWAY * factor;
            }
            links.carry(zone, caller.zone(), caller::ended, caller::ended);
            return;
        }
        busyUntil = Math.max(now, busyUntil) + CALL * factor;
        world.at(
                busyUntil,
                () -> {
                    if (down) {
                        links.carry(zone, caller.zone(), caller::ended, caller::ended);
                        return;
                    }
                    if (watch) {
                        watches.add(caller);
                    }
                    tell(caller, held, watch && held.compareTo(has) > 0, 0);
                });
    }

    private void tell(Caller caller, ConfigurationVersion version, boolean whole, long work) {
        busyUntil = Math.max(world.now(), busyUntil) + work;
        world.at(
                work == 0 ? world.now() : busyUntil,
                () ->
                        links.carry(
                                zone,
                                caller.zone(),
                                () -> caller.line(version, whole),
                                () -> left(caller)));
    }

    /** A caller has closed its connection, or can't be reached. */
    void left(Caller caller) {
        watches.remove(caller);
    }

    private void beat() {
        for (Caller watch : List.copyOf(watches)) {
            if (!links.cut(zone, watch.zone())) {
                watch.line(null, false);
            }
        }
        world.at(world.now() + BEAT, this::beat);
    }

    int worstSecond() {
        int most = worst;
        worst = 0;
        return most;
    }
}
