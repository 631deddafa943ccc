package cottonlock.lab.world;

import cottonlock.core.Deterministic;

/**
 * Which zone and region each numbered place is in: zones take places in turn, regions take zones in
 * order.
 *
 * @param regions 1 at least
 * @param zones over all regions; as many as regions at least
 */
@Deterministic
public record Topology(int regions, int zones) implements World.Delay {
    /**
     * Tenths of a millisecond one way: across a room, a town and a continent, and what each varies
     * by.
     */
    private static final int[] MIN_TICKS = {2, 5, 300};

    private static final int[] SPREAD_TICKS = {4, 10, 50};

    /** The zone of a place, from 0 on. */
    public int zone(int place) {
        return place % zones;
    }

    /** The region of a place, from 0 on. */
    public int region(int place) {
        return zone(place) * regions / zones;
    }

    private int distance(int from, int to) {
        return region(from) != region(to) ? 2 : zone(from) != zone(to) ? 1 : 0;
    }

    @Override
    public long minTicks(int from, int to) {
        return MIN_TICKS[distance(from, to)];
    }

    @Override
    public long spreadTicks(int from, int to) {
        return SPREAD_TICKS[distance(from, to)];
    }
}
