package cottonlock.lab.world;

import cottonlock.core.Deterministic;
import cottonlock.membership.Membership;
import cottonlock.setup.MembershipProtocolConfig;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;

/**
 * A fleet over regions and zones in virtual time: all start within a second; a quiet stretch; a
 * rack dies and is back; a zone is cut off and back; regions are apart and meet again; many restart
 * within a minute.
 */
@Deterministic
public final class RegionsStudy {
    private static final long SECOND = 10_000;

    /** Seconds after which views that are not right yet count as never so. */
    private static final long MOST = 900 * SECOND;

    /** One member in so many stands in the rack that dies. */
    private static final int RACK = 50;

    /**
     * Restarts within a minute: of a fleet of 3,000 at work, and of a smaller one no more than
     * half.
     */
    private static final int RESTARTS = 350;

    /** A process that leaves is back after this: a second to end and one to start. */
    private static final long BACK = 2 * SECOND;

    /** Seconds that an agreed fleet is left alone between two faults. */
    private static final long REST = 20 * SECOND;

    /** What is measured outside of virtual time. */
    public interface Gauge {
        /** The processor time of this thread in nanoseconds; each reading has a cost of its own. */
        LongSupplier processor();

        /** Nanoseconds that one reading adds to what lies between two. */
        long reading();

        /** Bytes in use on the heap after it has been tidied. */
        long heap();
    }

    /**
     * What is played.
     *
     * @param quiet seconds of the quiet stretch
     * @param apart seconds for which regions, and before that a zone for a tenth of them, are cut
     *     off; at least a minute for the zone
     * @param known addresses that each member is told; the size: all
     */
    public record Play(long seed, int size, Topology topology, int quiet, int apart, int known) {}

    private final Play play;
    private final World world;
    private final Fleet fleet;
    private final Gauge gauge;
    private final BiConsumer<String, Map<String, Long>> told;
    private final Map<String, Long> figures = new LinkedHashMap<>();

    private RegionsStudy(
            Play play,
            MembershipProtocolConfig rules,
            Gauge gauge,
            BiConsumer<String, Map<String, Long>> told) {
        this.play = play;
        this.gauge = gauge;
        this.told = told;
        world = new World(play.seed());
        world.delay(play.topology());
        fleet = new Fleet(world, play.size(), rules, Membership::new, play.known());
        fleet.judgeSides();
    }

    /**
     * Plays it; all figures so far are told whenever there is one more.
     *
     * @return figures by name, in milliseconds, bytes and microseconds; -1 where it never was
     */
    public static Map<String, Long> of(
            Play play,
            MembershipProtocolConfig rules,
            Gauge gauge,
            BiConsumer<String, Map<String, Long>> told) {
        return new RegionsStudy(play, rules, gauge, told).play();
    }

    private Map<String, Long> play() {
        long empty = gauge.heap();
        start();
        quiet(empty);
        rack();
        zone();
        regions();
        restarts();
        return figures;
    }

    private void figure(String name, long value) {
        figures.put(name, value);
        figures.put(
                "bytes_s_worst",
                fleet.nodes.stream().mapToLong(n -> n.worstSecond).max().orElse(0));
        figures.put("false_failed", (long) fleet.wronged(0));
        figures.put("seconds_virtual", world.now() / SECOND);
        figures.put("datagrams_print", world.print());
        told.accept(name, figures);
    }

    /** Milliseconds until all views are right, from a moment on. */
    private void agreed(String name, long from) {
        long took = fleet.untilAgreed(MOST);
        figure(name, took < 0 ? -1 : (world.now() - from) / 10);
    }

    private void start() {
        meter();
        fleet.startAll(SECOND);
        world.until(SECOND + 1);
        agreed("joined_ms", 0);
        metered("cpu_us_per_s_joining", world.now());
        world.until(world.now() + REST);
    }

    private void quiet(long empty) {
        long[] sent = fleet.nodes.stream().mapToLong(n -> n.sent).toArray();
        meter();
        world.until(world.now() + play.quiet() * SECOND);
        metered("cpu_us_per_s", play.quiet() * SECOND);
        long all = 0;
        for (Fleet.Node n : fleet.nodes) {
            all += n.sent - sent[n.number];
        }
        figure("bytes_s_mean", all / play.size() / play.quiet());
        figure("heap_bytes", (gauge.heap() - empty) / play.size());
    }

    private void meter() {
        fleet.meter(gauge.processor());
    }

    /**
     * Microseconds of processor time a second of one member, over so many tenths of a millisecond.
     */
    private void metered(String name, long time) {
        long nanos = fleet.spent() - fleet.readings() / 2 * gauge.reading();
        figure(name, Math.max(0, nanos) * SECOND / 1_000 / fleet.metered() / time);
        fleet.meter(null);
    }

    private void rack() {
        List<Fleet.Node> dead = new ArrayList<>();
        for (int i = 0;
                dead.size() < Math.max(1, play.size() / RACK);
                i += play.topology().zones()) {
            dead.add(fleet.nodes.get(i));
        }
        dead.forEach(Fleet.Node::kill);
        agreed("rack_found_ms", world.now());
        world.until(world.now() + REST);
        dead.forEach(n -> n.start(0));
        agreed("rack_back_ms", world.now());
        world.until(world.now() + REST);
    }

    private void zone() {
        fleet.sides(i -> play.topology().zone(i) == 0 ? 1 : 0);
        long from = world.now();
        long found = fleet.untilAgreed(i -> play.topology().zone(i) != 0, MOST);
        figure("zone_found_ms", found < 0 ? -1 : found / 10);
        agreed("zone_lost_ms", from);
        world.until(Math.max(world.now(), from + Math.max(60, play.apart() / 10) * SECOND));
        fleet.sides(i -> 0);
        agreed("zone_healed_ms", world.now());
        world.until(world.now() + REST);
    }

    private void regions() {
        if (play.topology().regions() < 2) {
            return;
        }
        fleet.sides(play.topology()::region);
        long from = world.now();
        agreed("regions_apart_ms", from);
        meter();
        long since = world.now();
        world.until(Math.max(world.now() + SECOND, from + play.apart() * SECOND));
        metered("cpu_us_per_s_apart", world.now() - since);
        fleet.sides(i -> 0);
        agreed("regions_healed_ms", world.now());
        world.until(world.now() + REST);
    }

    private void restarts() {
        int most = Math.min(RESTARTS, play.size() / 2);
        long from = world.now();
        for (int i = 0; i < most; i++) {
            Fleet.Node n = fleet.nodes.get(i * 2);
            long at = from + i * 60L * SECOND / most;
            world.at(at, n::leave);
            world.at(at + BACK, () -> n.start(0));
        }
        world.until(from + 60 * SECOND + BACK);
        agreed("restarts_agree_ms", world.now());
    }
}
