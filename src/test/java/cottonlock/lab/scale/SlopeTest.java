package cottonlock.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cottonlock.lab.scale.Slope.Point;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;

/** Fits points of known laws and checks quantities derived from the operators' design. */
class SlopeTest {
    private static final double TOLERANCE = 1e-6;
    private static final List<Double> SIZES = List.of(10.0, 100.0, 300.0, 1_000.0);

    @Property(tries = 100)
    void fitRecoversALine(
            @ForAll @DoubleRange(min = 0, max = 500) double base,
            @ForAll @DoubleRange(min = 0.01, max = 50) double rise) {
        Slope slope = Slope.fit(SIZES.stream().map(s -> new Point(s, base + rise * s)).toList(), 4);
        assertEquals(base + rise * 3_000, slope.valueAt(3_000), TOLERANCE * (base + rise * 3_000));
        assertEquals(0, slope.spread(), TOLERANCE);
        assertTrue(Double.isNaN(slope.seedSpread()), "no size has two seeds");
        assertEquals(3, slope.extrapolationFactor(3_000));
        assertEquals(1, slope.extrapolationFactor(500));
    }

    @Property(tries = 100)
    void fitRecoversAPowerLaw(
            @ForAll @DoubleRange(min = 0.1, max = 50) double base,
            @ForAll @DoubleRange(min = 1.2, max = 2.5) double exponent) {
        Slope slope =
                Slope.fit(
                        SIZES.stream()
                                .map(s -> new Point(s, base * Math.pow(s, exponent)))
                                .toList(),
                        4);
        assertEquals("power", slope.law());
        double expected = base * Math.pow(3_000, exponent);
        assertEquals(expected, slope.valueAt(3_000), TOLERANCE * expected);
        assertEquals("linear", slope.alternative().law());
        assertTrue(
                slope.alternative().valueAt(3_000) < expected,
                "a line lies below a curve that bends up");
    }

    @Example
    void fewerSizesThanTheMinimumGiveNoFit() {
        List<Point> three = new ArrayList<>();
        for (int seed = 0; seed < 5; seed++) {
            three.addAll(
                    List.of(
                            new Point(1, 1 + seed),
                            new Point(2, 2 + seed),
                            new Point(3, 3 + seed)));
        }
        assertNull(Slope.fit(three, Slope.MIN_SIZES));
        assertNotNull(Slope.fit(three, 3));
        assertNull(Slope.fit(List.of(), 0));
        assertNull(Slope.fit(List.of(new Point(5, 1), new Point(5, 2)), 0));
    }

    /** The line through the means is 2x; each point is off by 1, and the mean is 5. */
    @Example
    void spreadsAreRelativeToTheMean() {
        List<Point> points = new ArrayList<>();
        for (int x = 1; x <= 4; x++) {
            points.add(new Point(x, 2 * x - 1));
            points.add(new Point(x, 2 * x + 1));
        }
        Slope slope = Slope.fit(points, 4);
        assertEquals("linear", slope.law());
        assertEquals(2, slope.rise(), TOLERANCE);
        assertEquals(0.2, slope.spread(), TOLERANCE);
        assertEquals(1.0, slope.seedSpread(), TOLERANCE);
    }

    /** Differences can be negative, where a power law can't be fitted. */
    @Example
    void negativeValuesAreFittedByALineOnly() {
        Slope slope = Slope.fit(List.of(new Point(1, -1), new Point(2, 0), new Point(3, 1)), 3);
        assertEquals("linear", slope.law());
        assertNull(slope.alternative());
        assertEquals(7, slope.valueAt(9), TOLERANCE);
    }

    /** Expected values are computed by hand, such as 640,000 calls a second over 3,000 proxies. */
    @Example
    void derivedQuantitiesFollowFromTheDesign() {
        Map<String, Double> given =
                new TreeMap<>(
                        Map.of(
                                "operators.backends",
                                3_000.0,
                                "operators.services",
                                460.0,
                                "operators.calls_s",
                                640_000.0,
                                "operators.in_force_s",
                                10.0,
                                "operators.proxy_bytes_s",
                                7_000.0,
                                "operators.control_machines",
                                17.0,
                                "constant.quota_depth",
                                4.0,
                                "assumed.fall_s",
                                3.0,
                                "assumed.fall_multiple",
                                3.0,
                                "assumed.cold_share",
                                0.35));
        given.put("operators.restarts_day", 350.0);
        given.put("operators.failures_day", 4.0);
        given.put("assumed.list_changes", 3.0);
        Map<String, Double> out = new DerivedQuantities(given, 420_000).figures();
        assertEquals(213.333, out.get("calls_proxy"), 0.001);
        assertEquals(60, out.get("list_time_s"), TOLERANCE);
        assertEquals(42_000, out.get("list_rate"), TOLERANCE);
        assertEquals(1.26e9, out.get("list_all_bytes"), TOLERANCE);
        assertEquals(420_000 * 300 / 17.0, out.get("list_control_rate"), TOLERANCE);
        assertEquals(0.46377, out.get("quota_part"), 0.0001);
        assertEquals(12_000, out.get("quota_burst"), TOLERANCE);
        assertEquals(3_000, out.get("quota_start"), TOLERANCE);
        assertEquals(460, out.get("quota_lost"), TOLERANCE);
        assertEquals(336, out.get("cold_all"), TOLERANCE);
        assertEquals(0.5, out.get("cold_ratio"), TOLERANCE);
        assertEquals(
                (350 * 3 + 4 * 2) * 3_000 / 86_400.0, out.get("discovery_changes_s"), TOLERANCE);
        assertTrue(
                Double.isNaN(
                        new DerivedQuantities(given, Double.NaN).figures().get("list_all_bytes")));
    }
}
