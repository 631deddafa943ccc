package cottonlock.lab.world;

import cottonlock.core.Deterministic;

/**
 * Assigns numbered nodes to zones in turn, and zones to regions in blocks.
 *
 * @param regions at least 1
 * @param zones over all regions; at least as many as regions
 */
@Deterministic
public record Topology(int regions, int zones) implements World.Delay {
    /** One-way delay within a zone, between the zones of a region, and between regions. */
    private static final int[] MIN_TICKS = {2, 5, 300};

    /** The largest extra delay for each of these distances. */
    private static final int[] SPREAD_TICKS = {4, 10, 50};

    /** The zone of a node, from 0 on. */
    public int zone(int place) {
        return place % zones;
    }

    /** The region of a node, from 0 on. */
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
