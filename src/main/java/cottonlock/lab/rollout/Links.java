package cottonlock.lab.rollout;

import cottonlock.core.Deterministic;
import cottonlock.lab.world.World;

/**
 * The ways between zones, in virtual time: how long a message takes, and what is cut. A message is
 * one of a connection that stands: while its way is cut it is sent again, and comes when the cut
 * ends.
 */
@Deterministic
final class Links {
    /** Tenths of a millisecond between two sendings of what was not acknowledged. */
    private static final long RETRANSMIT_TICKS = 3_000;

    /** So long a side goes on sending before it gives its connection up. */
    private static final long GIVE_UP_TICKS = 150_000;

    /** Within a zone, between zones, and between regions, one way, and how much more by chance. */
    private static final long[] MIN_DELAY_TICKS = {2, 5, 300};

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

    /** Cuts the regions from one another, or joins them again. */
    void split(boolean apart) {
        split = apart;
    }

    /** A zone is reached only in the first part of each period, until a time. */
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

    /** Carries a message; {@code lost} is run where the connection is given up. */
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
