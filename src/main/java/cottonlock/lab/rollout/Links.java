package cottonlock.lab.rollout;

import cottonlock.core.Deterministic;
import cottonlock.lab.world.World;

/**
 * The simulated network between zones: delays and partitions. Messages belong to established
 * connections: while a path is cut they are retransmitted, and arrive after the cut has ended.
 */
@Deterministic
final class Links {
    /** Interval of retransmissions. */
    private static final long RETRANSMIT_TICKS = 3_000;

    /** How long a side retransmits before it gives up its connection. */
    private static final long GIVE_UP_TICKS = 150_000;

    /**
     * The shortest one-way delay within a zone, between the zones of a region, and between regions.
     */
    private static final long[] MIN_DELAY_TICKS = {2, 5, 300};

    /** The extra delay is drawn uniformly below this. */
    private static final long DELAY_SPREAD_TICKS = 10;

    private final World world;
    private final int regions;
    private boolean split;
    private int flappingZone = -1;
    private long flapUntil;
    private long flapUpTicks;
    private long flapPeriodTicks;

    Links(World world, int regions) {
        this.world = world;
        this.regions = regions;
    }

    /** Partitions the regions from each other, or heals the partition. */
    void split(boolean apart) {
        split = apart;
    }

    /** Makes a zone reachable only in the first {@code upTicks} of each period, until a time. */
    void flap(int zone, long periodTicks, long upTicks, long until) {
        flappingZone = zone;
        flapPeriodTicks = periodTicks;
        flapUpTicks = upTicks;
        flapUntil = until;
    }

    int region(int zone) {
        return zone % regions;
    }

    boolean cut(int from, int to) {
        boolean down = world.now() < flapUntil && world.now() % flapPeriodTicks >= flapUpTicks;
        boolean apart = split && region(from) != region(to);
        return apart || (down && from != to && (from == flappingZone || to == flappingZone));
    }

    long delay(int from, int to) {
        long minDelayTicks = MIN_DELAY_TICKS[from == to ? 0 : region(from) == region(to) ? 1 : 2];
        return minDelayTicks + world.chance().nextLong(DELAY_SPREAD_TICKS);
    }

    /** Delivers a message; {@code lost} runs instead if the connection is given up. */
    void carry(int from, int to, Runnable arrives, Runnable lost) {
        carry(from, to, world.now() + GIVE_UP_TICKS, arrives, lost);
    }

    private void carry(int from, int to, long until, Runnable arrives, Runnable lost) {
        if (!cut(from, to)) {
            world.at(world.now() + delay(from, to), arrives);
        } else if (world.now() < until) {
            world.at(world.now() + RETRANSMIT_TICKS, () -> carry(from, to, until, arrives, lost));
        } else {
            lost.run();
        }
    }
}
