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
    private static final long TICKS_PER_SECOND = 10_000;

    /** Seconds after which views that are not right yet count as never so. */
    private static final long MAX_WAIT_TICKS = 900 * TICKS_PER_SECOND;

    /** One member in so many stands in the rack that dies. */
    private static final int MEMBERS_PER_RACK_MEMBER = 50;

    /**
     * Restarts within a minute: of a fleet of 3,000 at work, and of a smaller one no more than
     * half.
     */
    private static final int MAX_RESTARTS = 350;

    /** A process that leaves is back after this: a second to end and one to start. */
    private static final long RESTART_TICKS = 2 * TICKS_PER_SECOND;

    /** Seconds that an agreed fleet is left alone between two faults. */
    private static final long PAUSE_TICKS = 20 * TICKS_PER_SECOND;

    /** What is measured outside of virtual time. */
    public interface Gauge {
        /** The processor time of this thread in nanoseconds; each reading has a cost of its own. */
        LongSupplier cpuClock();

        /** Nanoseconds that one reading adds to what lies between two. */
        long readingNanos();

        /** Bytes in use on the heap after it has been tidied. */
        long heapBytes();
    }

    /**
     * What is played.
     *
     * @param quiet seconds of the quiet stretch
     * @param apart seconds for which regions, and before that a zone for a tenth of them, are cut
     *     off; at least a minute for the zone
     * @param known addresses that each member is told; the size: all
     */
    public record Parameters(
            long seed,
            int size,
            Topology topology,
            int quietSeconds,
            int apartSeconds,
            int knownAddresses) {}

    private final Parameters parameters;
    private final World world;
    private final Fleet fleet;
    private final Gauge gauge;
    private final BiConsumer<String, Map<String, Long>> onFigure;
    private final Map<String, Long> figures = new LinkedHashMap<>();

    private RegionsStudy(
            Parameters parameters,
            MembershipProtocolConfig rules,
            Gauge gauge,
            BiConsumer<String, Map<String, Long>> onFigure) {
        this.parameters = parameters;
        this.gauge = gauge;
        this.onFigure = onFigure;
        world = new World(parameters.seed());
        world.delay(parameters.topology());
        fleet =
                new Fleet(
                        world,
                        parameters.size(),
                        rules,
                        Membership::new,
                        parameters.knownAddresses());
        fleet.judgeWithinSides();
    }

    /**
     * Plays it; all figures so far are told whenever there is one more.
     *
     * @return figures by name, in milliseconds, bytes and microseconds; -1 where it never was
     */
    public static Map<String, Long> run(
            Parameters parameters,
            MembershipProtocolConfig rules,
            Gauge gauge,
            BiConsumer<String, Map<String, Long>> onFigure) {
        return new RegionsStudy(parameters, rules, gauge, onFigure).play();
    }

    private Map<String, Long> play() {
        long emptyHeapBytes = gauge.heapBytes();
        startAll();
        quietStretch(emptyHeapBytes);
        loseRack();
        cutZoneOff();
        splitRegions();
        restartMany();
        return figures;
    }

    private void figure(String name, long value) {
        figures.put(name, value);
        figures.put(
                "bytes_s_worst",
                fleet.nodes.stream().mapToLong(n -> n.worstSecond).max().orElse(0));
        figures.put("false_failed", (long) fleet.wrongedCount(0));
        figures.put("seconds_virtual", world.now() / TICKS_PER_SECOND);
        figures.put("datagrams_print", world.fingerprint());
        onFigure.accept(name, figures);
    }

    /** Milliseconds until all views are right, from a moment on. */
    private void awaitAgreement(String name, long from) {
        long took = fleet.untilAgreed(MAX_WAIT_TICKS);
        figure(name, took < 0 ? -1 : (world.now() - from) / 10);
    }

    private void startAll() {
        startMeter();
        fleet.startAll(TICKS_PER_SECOND);
        world.until(TICKS_PER_SECOND + 1);
        awaitAgreement("joined_ms", 0);
        recordCpu("cpu_us_per_s_joining", world.now());
        world.until(world.now() + PAUSE_TICKS);
    }

    private void quietStretch(long emptyHeapBytes) {
        long[] sent = fleet.nodes.stream().mapToLong(n -> n.sent).toArray();
        startMeter();
        world.until(world.now() + parameters.quietSeconds() * TICKS_PER_SECOND);
        recordCpu("cpu_us_per_s", parameters.quietSeconds() * TICKS_PER_SECOND);
        long all = 0;
        for (Fleet.Node n : fleet.nodes) {
            all += n.sent - sent[n.number];
        }
        figure("bytes_s_mean", all / parameters.size() / parameters.quietSeconds());
        figure("heap_bytes", (gauge.heapBytes() - emptyHeapBytes) / parameters.size());
    }

    private void startMeter() {
        fleet.meter(gauge.cpuClock());
    }

    /**
     * Microseconds of processor time a second of one member, over so many tenths of a millisecond.
     */
    private void recordCpu(String name, long time) {
        long nanos = fleet.cpuNanos() - fleet.clockReadings() / 2 * gauge.readingNanos();
        figure(name, Math.max(0, nanos) * TICKS_PER_SECOND / 1_000 / fleet.meteredCount() / time);
        fleet.meter(null);
    }

    private void loseRack() {
        List<Fleet.Node> dead = new ArrayList<>();
        for (int i = 0;
                dead.size() < Math.max(1, parameters.size() / MEMBERS_PER_RACK_MEMBER);
                i += parameters.topology().zones()) {
            dead.add(fleet.nodes.get(i));
        }
        dead.forEach(Fleet.Node::kill);
        awaitAgreement("rack_found_ms", world.now());
        world.until(world.now() + PAUSE_TICKS);
        dead.forEach(n -> n.start(0));
        awaitAgreement("rack_back_ms", world.now());
        world.until(world.now() + PAUSE_TICKS);
    }

    private void cutZoneOff() {
        fleet.setSides(i -> parameters.topology().zone(i) == 0 ? 1 : 0);
        long from = world.now();
        long found = fleet.untilAgreed(i -> parameters.topology().zone(i) != 0, MAX_WAIT_TICKS);
        figure("zone_found_ms", found < 0 ? -1 : found / 10);
        awaitAgreement("zone_lost_ms", from);
        world.until(
                Math.max(
                        world.now(),
                        from + Math.max(60, parameters.apartSeconds() / 10) * TICKS_PER_SECOND));
        fleet.setSides(i -> 0);
        awaitAgreement("zone_healed_ms", world.now());
        world.until(world.now() + PAUSE_TICKS);
    }

    private void splitRegions() {
        if (parameters.topology().regions() < 2) {
            return;
        }
        fleet.setSides(parameters.topology()::region);
        long from = world.now();
        awaitAgreement("regions_apart_ms", from);
        startMeter();
        long since = world.now();
        world.until(
                Math.max(
                        world.now() + TICKS_PER_SECOND,
                        from + parameters.apartSeconds() * TICKS_PER_SECOND));
        recordCpu("cpu_us_per_s_apart", world.now() - since);
        fleet.setSides(i -> 0);
        awaitAgreement("regions_healed_ms", world.now());
        world.until(world.now() + PAUSE_TICKS);
    }

    private void restartMany() {
        int restartCount = Math.min(MAX_RESTARTS, parameters.size() / 2);
        long from = world.now();
        for (int i = 0; i < restartCount; i++) {
            Fleet.Node n = fleet.nodes.get(i * 2);
            long at = from + i * 60L * TICKS_PER_SECOND / restartCount;
            world.at(at, n::leave);
            world.at(at + RESTART_TICKS, () -> n.start(0));
        }
        world.until(from + 60 * TICKS_PER_SECOND + RESTART_TICKS);
        awaitAgreement("restarts_agree_ms", world.now());
    }
}
