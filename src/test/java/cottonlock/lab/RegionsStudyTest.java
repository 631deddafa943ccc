package cottonlock.lab;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cottonlock.lab.world.RegionsStudy;
import cottonlock.lab.world.Topology;
import cottonlock.setup.MembershipProtocolConfig;
import java.util.Map;
import java.util.function.LongSupplier;
import net.jqwik.api.Example;

/** Fleets over two regions and seven zones in virtual time. */
class RegionsStudyTest {
    private static final Topology TOPOLOGY = new Topology(2, 7);

    /**
     * The fingerprint of all datagrams of the simulation below, recorded before the program's
     * tables were indexed by number.
     */
    private static final long EXPECTED_FINGERPRINT = 1_696_335_539_377_993_399L;

    /** Measures nothing, so that figures depend on virtual time alone. */
    private static final class NoGauge implements RegionsStudy.Gauge {
        @Override
        public LongSupplier cpuClock() {
            return () -> 0;
        }

        @Override
        public long readingNanos() {
            return 0;
        }

        @Override
        public long heapBytes() {
            return 0;
        }
    }

    private static Map<String, Long> play(long seed, int size, int quietSeconds, int apartSeconds) {
        return RegionsStudy.run(
                new RegionsStudy.Parameters(seed, size, TOPOLOGY, quietSeconds, apartSeconds, size),
                MembershipProtocolConfig.DEFAULTS,
                new NoGauge(),
                (name, figures) -> {});
    }

    /**
     * A rack, a zone and a region fail and recover, and half of the members restart. With {@code
     * -DargLine=-Dcottonlock.members=3000} the fleet has 3,000 members; that takes long.
     */
    @Example
    void racksZonesAndRegionsFailAndRecover() {
        int size = Integer.getInteger("cottonlock.members", 100);
        Map<String, Long> figures = play(1, size, 10, 60);
        figures.forEach(
                (name, value) ->
                        assertTrue(
                                value >= 0 || name.equals("datagrams_print"),
                                name + " never was: " + figures));
        assertEquals(0, figures.get("false_failed"), figures.toString());
        assertTrue(
                figures.get("bytes_s_worst")
                        <= MembershipProtocolConfig.DEFAULTS.maxBytesPerSecond(),
                figures.toString());
        if (size <= 100) {
            // Twice the times that docs/membership.md gives for this size.
            Map.of(
                            "joined_ms",
                            15_000,
                            "rack_found_ms",
                            14_000,
                            "rack_back_ms",
                            4_000,
                            "zone_found_ms",
                            20_000,
                            "zone_healed_ms",
                            14_000,
                            "regions_healed_ms",
                            17_000)
                    .forEach(
                            (name, maxMillis) ->
                                    assertTrue(
                                            figures.get(name) <= maxMillis,
                                            name + " over " + maxMillis + ": " + figures));
        }
    }

    /** Optimisations must leave each datagram of a seed the same, byte for byte. */
    @Example
    void aSeedDeterminesEachDatagram() {
        Map<String, Long> once = play(1, 24, 20, 60);
        assertEquals(EXPECTED_FINGERPRINT, once.get("datagrams_print"));
        assertEquals(once, play(1, 24, 20, 60));
        assertNotEquals(EXPECTED_FINGERPRINT, play(2, 24, 20, 60).get("datagrams_print"));
    }
}
