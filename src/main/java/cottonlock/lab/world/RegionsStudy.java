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
 * Simulates a fleet over regions and zones in virtual time: all members start within a second; a
 * phase without faults; a rack fails and comes up again; a zone is partitioned and heals; regions
 * are partitioned and heal; many members restart within a minute.
 */
@Deterministic
public final class RegionsStudy {
    private static final long TICKS_PER_SECOND = 10_000;

    /** Views that are not right after this time count as never right. */
    private static final long MAX_WAIT_TICKS = 900 * TICKS_PER_SECOND;

    /** The fleet is spread over so many racks, one of which fails. */
    private static final int RACK_COUNT = 50;

    /**
     * Restarts within a minute, as in a fleet of 3,000 in production; in a smaller fleet at most
     * half of the members.
     */
    private static final int MAX_RESTARTS = 350;

    /** From when a process leaves until its successor starts: a second to end and one to start. */
    private static final long RESTART_TICKS = 2 * TICKS_PER_SECOND;

    /** The pause between two phases after the views have converged. */
    private static final long PAUSE_TICKS = 20 * TICKS_PER_SECOND;

    /** Measures what virtual time does not show: CPU time and heap. */
    public interface Gauge {
        /** The CPU time of this thread in nanoseconds; each reading has a cost of its own. */
        LongSupplier cpuClock();

        /** The nanoseconds that reading the clock adds to the time between two readings. */
        long readingNanos();

        /** Bytes in use on the heap after garbage collection. */
        long heapBytes();
    }

    /**
     * The parameters of a simulation.
     *
     * @param quietSeconds length of the phase without faults
     * @param apartSeconds for how long regions are partitioned; a zone is partitioned for a tenth
     *     of it, at least a minute
     * @param knownAddresses contact addresses that each member knows; equal to the size for all
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
     * Runs the simulation; passes on all figures so far whenever one is added.
     *
     * @return figures by name, in milliseconds, bytes and microseconds; -1 where an event never
     *     happened
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

    /** Runs until all views are right, and records the milliseconds since {@code from}. */
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
     * Records the CPU time of one member in microseconds per second, measured over {@code time}
     * ticks.
     */
    private void recordCpu(String name, long time) {
        long nanos = fleet.cpuNanos() - fleet.clockReadings() / 2 * gauge.readingNanos();
        figure(name, Math.max(0, nanos) * TICKS_PER_SECOND / 1_000 / fleet.meteredCount() / time);
        fleet.meter(null);
    }

    private void loseRack() {
        List<Fleet.Node> dead = new ArrayList<>();
        for (int i = 0;
                dead.size() < Math.max(1, parameters.size() / RACK_COUNT);
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
