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
    private static final long AGAIN = 3_000;

    /** So long a side goes on sending before it gives its connection up. */
    private static final long GIVEN_UP = 150_000;

    /** Within a zone, between zones, and between regions, one way, and how much more by chance. */
    private static final long[] SHORTEST = {2, 5, 300};

    private static final long SPREAD = 10;

    private final World world;
    private final int regions;
    private boolean split;
    private int flapping = -1;
    private long flapsUntil;
    private long up;
    private long period;

    Links(World world, int regions) {
        this.world = world;
        this.regions = regions;
    }

    /** Cuts the regions from one another, or joins them again. */
    void split(boolean apart) {
        split = apart;
    }

    /** A zone is reached only in the first part of each period, until a time. */
    void flap(int zone, long each, long firstPart, long until) {
        flapping = zone;
        period = each;
        up = firstPart;
        flapsUntil = until;
    }

    int region(int zone) {
        return zone % regions;
    }

    boolean cut(int from, int to) {
        boolean down = world.now() < flapsUntil && world.now() % period >= up;
        boolean apart = split && region(from) != region(to);
        return apart || (down && from != to && (from == flapping || to == flapping));
    }

    long delay(int from, int to) {
        long shortest = SHORTEST[from == to ? 0 : region(from) == region(to) ? 1 : 2];
        return shortest + world.chance().nextLong(SPREAD);
    }

    /** Carries a message; {@code lost} is run where the connection is given up. */
    void carry(int from, int to, Runnable arrives, Runnable lost) {
        carry(from, to, world.now() + GIVEN_UP, arrives, lost);
    }

    private void carry(int from, int to, long until, Runnable arrives, Runnable lost) {
        if (!cut(from, to)) {
            world.at(world.now() + delay(from, to), arrives);
        } else if (world.now() < until) {
            world.at(world.now() + AGAIN, () -> carry(from, to, until, arrives, lost));
        } else {
            lost.run();
        }
    }
}
