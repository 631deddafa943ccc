package cottonlock.lab;

import cottonlock.lab.world.Study;
import cottonlock.setup.MembershipProtocolConfig;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/**
 * Measures the cost and the benefit of the membership protocol in virtual time for each size and
 * packet loss, as a table and as a page of charts.
 */
final class MembersStudy {
    private static final String X_AXIS_UNIT = "log10 of the size";

    private final List<Integer> sizes;
    private final List<Double> losses;
    private final MembershipProtocolConfig rules;
    private final List<Study.Row> rows = new ArrayList<>();

    MembersStudy(List<Integer> sizes, List<Double> losses, MembershipProtocolConfig rules) {
        this.sizes = sizes;
        this.losses = losses;
        this.rules = rules;
    }

    /** Simulates each combination and prints its line as soon as it is known. */
    void play(long seed, int deathCount, int quietSeconds, PrintStream out) {
        out.println(
                "size  loss  first knows, ms  all know, ms   false failures    bytes/s     joined "
                        + " heal");
        out.println(
                "            median  worst    median  worst  an hour   hours   mean worst  ms     "
                        + " ms");
        for (double loss : losses) {
            for (int size : sizes) {
                Study.Row r = Study.run(seed, size, loss, deathCount, quietSeconds, rules);
                rows.add(r);
                out.printf(
                        Locale.ROOT,
                        "%4d  %4.2f  %6d %6d    %6d %6d  %7.1f %7.2f  %5d %5d  %6d  %6d%n",
                        size,
                        loss,
                        r.firstMillis(),
                        r.worstFirstMillis(),
                        r.allMillis(),
                        r.worstAllMillis(),
                        r.falseFailuresPerHour(),
                        r.hours(),
                        r.meanBytes(),
                        r.worstBytes(),
                        r.joinedMillis(),
                        r.healedMillis());
            }
        }
    }

    /**
     * Returns the page of charts, with the values that the published formulas give for the same
     * protocol periods.
     */
    String page() {
        // SWIM: the first probe comes after e / (e - 1) periods on average. Lifeguard: a suspicion
        // with enough
        // confirmations lasts the shortest suspicion time.
        double firstProbeMillis = Math.E / (Math.E - 1) * rules.periodTicks() / 10;
        double[] published =
                sizes.stream()
                        .mapToDouble(
                                n ->
                                        firstProbeMillis
                                                + rules.suspicionMultiplier()
                                                        * Math.max(1, Math.log10(n))
                                                        * rules.periodTicks()
                                                        / 10)
                        .toArray();
        return Page.HEAD
                + "<title>members</title>"
                + Page.STYLE
                + "</head><body><h1>Proxies that know one "
                + "another, in virtual time</h1>\n"
                + chart("The first knows of a death", "ms, median", Study.Row::firstMillis)
                        .line("SWIM and Lifeguard, by their formulas", published)
                        .svg()
                + chart("All know of a death", "ms, median", Study.Row::allMillis).svg()
                + chart("Sent by one member", "bytes a second, mean", Study.Row::meanBytes).svg()
                + chart(
                                "A split is healed",
                                "ms until all views are right",
                                Study.Row::healedMillis)
                        .svg()
                + "</body></html>\n";
    }

    private Chart chart(String title, String unit, ToDoubleFunction<Study.Row> value) {
        double[] xs = sizes.stream().mapToDouble(Math::log10).toArray();
        Chart chart = new Chart(title, unit, xs, X_AXIS_UNIT, List.of());
        for (double loss : losses) {
            chart.line(
                    Math.round(loss * 100) + "% lost",
                    rows.stream().filter(r -> r.loss() == loss).mapToDouble(value).toArray());
        }
        return chart;
    }
}
