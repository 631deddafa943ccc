package cottonlock.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.IntToDoubleFunction;

/**
 * Writes one HTML page about a run: the verdict, the faults and charts over time. It needs no
 * network.
 */
public final class Page {
    /** Lines in one chart: more can't be distinguished. Of the backends the busiest are shown. */
    private static final int MAX_LINES = 12;

    /** The style sheet of all pages of the lab. */
    public static final String STYLE =
            """
            <style>
            body{font:15px/1.45 system-ui,sans-serif;max-width:920px;margin:24px auto;padding:0 16px}
            body{color:#222;background:#fff}
            h1{font-size:22px;margin:0 0 4px}h2{font-size:17px;margin:28px 0 8px}
            .verdict{display:inline-block;padding:2px 10px;border-radius:4px;color:#fff;font-weight:600}
            .pass{background:#00734f}.fail{background:#b3261e}.none{background:#666}
            table{border-collapse:collapse;margin:8px 0}td,th{padding:3px 14px 3px 0;text-align:left;
            border-bottom:1px solid #ddd;font-variant-numeric:tabular-nums}td.n,th.n{text-align:right}
            figure{margin:18px 0}figcaption{font-weight:600}figcaption small{font-weight:400;color:#666}
            svg{width:100%;height:auto;display:block}svg text{font-size:11px;fill:#555}
            svg path{fill:none;stroke-width:1.8}
            .grid{stroke:#e4e4e4}.fault{fill:#f4c542;opacity:.28}
            .key{margin:2px 0 0 56px;font-size:13px}.key span{margin-right:14px;white-space:nowrap}
            .key i{display:inline-block;width:14px;height:3px;margin-right:5px;vertical-align:middle}
            .cards{display:grid;grid-template-columns:repeat(auto-fill,minmax(118px,1fr));
            gap:8px;margin:14px 0}
            .cards div{border:1px solid #ddd;border-radius:6px;padding:6px 10px}
            .cards b{display:block;font-size:18px}
            .cards small{color:#666}.bad{border-color:#b3261e !important;color:#b3261e}
            </style>
            """;

    /** The start of all pages of the lab. */
    public static final String HEAD =
            "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">";

    private Page() {}

    static String of(Experiment run, Verdict verdict) {
        Scenario scenario = run.scenario();
        Series series = run.series();
        int seconds = (int) (scenario.length / 1_000_000_000L);
        List<Timeline.Entry> faults = run.timeline();
        StringBuilder page =
                new StringBuilder(HEAD)
                        .append("<meta name=\"viewport\" content=\"width=device-width\"><title>")
                        .append(Chart.text(scenario.name))
                        .append(" - cottonlock lab</title>\n")
                        .append(STYLE)
                        .append("</head><body>\n<h1>")
                        .append(Chart.text(scenario.name))
                        .append(" <span class=\"verdict ")
                        .append(verdict.word())
                        .append("\">")
                        .append(verdict.word())
                        .append("</span></h1>\n<p>")
                        .append(Chart.text(scenario.about))
                        .append("</p>\n<p><small>seed ")
                        .append(scenario.seed)
                        .append(", ")
                        .append(seconds)
                        .append(" s, policy ")
                        .append(scenario.proxies.policy())
                        .append(", ")
                        .append(scenario.proxies.count())
                        .append(" proxies before ")
                        .append(scenario.tiers.get(0).backends())
                        .append(" backends")
                        .append(run.interrupted() ? "; ended early" : "")
                        .append(
                                ". Stand-ins on one machine; no measurements of real"
                                        + " servers.</small></p>\n");
        for (String line : verdict.broken) {
            page.append("<p class=\"bad\">").append(Chart.text(line)).append("</p>\n");
        }
        cards(page, verdict);
        page.append(
                countsChart(
                        seconds,
                        "Answers",
                        "a second, when they came",
                        faults,
                        series,
                        List.of(
                                Series.Count.DUE,
                                Series.Count.FINISHED,
                                Series.Count.LATE,
                                Series.Count.DEFERRED,
                                Series.Count.WRITTEN_OFF,
                                Series.Count.NO_ANSWER)));
        page.append(
                chart(
                                "Latency of what was finished",
                                "ms, from when it was due to be sent",
                                seconds,
                                faults)
                        .line("median", perSecond(seconds, s -> series.latency(s, 50)))
                        .line("90%", perSecond(seconds, s -> series.latency(s, 90)))
                        .line("99%", perSecond(seconds, s -> series.latency(s, 99)))
                        .svg());
        Chart tenants =
                chart(
                        "Service of each tenant",
                        "part of the credit earned, by when it was due",
                        seconds,
                        faults);
        for (int t = 0; t < Math.min(MAX_LINES, scenario.tenants.size()); t++) {
            int tenant = t;
            tenants.line(
                    scenario.tenants.get(t).name(),
                    perSecond(seconds, s -> series.service(tenant, s)));
        }
        page.append(tenants.svg());
        backends(page, series, seconds, faults);
        faults(page, faults);
        categories(page, scenario, series);
        return page.append("</body></html>\n").toString();
    }

    private static void cards(StringBuilder page, Verdict verdict) {
        page.append("<div class=\"cards\">");
        for (String key : verdict.keys) {
            boolean bad =
                    verdict.broken.stream()
                            .anyMatch(
                                    l ->
                                            l.contains(
                                                    " "
                                                            + key
                                                            + (l.startsWith("rule") ? ":" : " ")));
            page.append("<div")
                    .append(bad ? " class=\"bad\"" : "")
                    .append("><b>")
                    .append(verdict.format(key))
                    .append("</b><small>")
                    .append(key.replace("_ms", " ms").replace('_', ' '))
                    .append("</small></div>");
        }
        page.append("</div>\n");
    }

    private static Chart chart(
            String title, String unit, int seconds, List<Timeline.Entry> faults) {
        return new Chart(title, unit, perSecond(seconds, s -> s + 0.5), "s", faults);
    }

    private static double[] perSecond(int seconds, IntToDoubleFunction value) {
        double[] values = new double[seconds];
        for (int s = 0; s < seconds; s++) {
            values[s] = value.applyAsDouble(s);
        }
        return values;
    }

    private static String countsChart(
            int seconds,
            String title,
            String unit,
            List<Timeline.Entry> faults,
            Series series,
            List<Series.Count> counts) {
        Chart chart = chart(title, unit, seconds, faults);
        for (Series.Count count : counts) {
            chart.line(
                    count.name().toLowerCase(Locale.ROOT).replace('_', ' '),
                    perSecond(seconds, s -> series.line(count).at(s)));
        }
        return chart.svg();
    }

    private static void backends(
            StringBuilder page, Series series, int seconds, List<Timeline.Entry> faults) {
        Map<String, List<Map.Entry<String, Series.BackendCounts>>> tiers =
                new java.util.TreeMap<>();
        series.backends()
                .entrySet()
                .forEach(
                        e ->
                                tiers.computeIfAbsent(
                                                e.getKey().substring(1, e.getKey().indexOf('b')),
                                                t -> new ArrayList<>())
                                        .add(e));
        tiers.forEach(
                (tier, backends) -> {
                    backends.sort(
                            java.util.Comparator.comparingDouble(
                                            (Map.Entry<String, Series.BackendCounts> e) ->
                                                    -total(e.getValue().received, seconds))
                                    .thenComparing(Map.Entry::getKey));
                    int shown = Math.min(MAX_LINES, backends.size());
                    String selection =
                            backends.size() > shown
                                    ? ", the " + shown + " busiest of " + backends.size()
                                    : "";
                    Chart received =
                            chart(
                                    "Attempts that reached backends of tier " + tier,
                                    "a second" + selection,
                                    seconds,
                                    faults);
                    backends.stream()
                            .limit(shown)
                            .sorted(Map.Entry.comparingByKey())
                            .forEach(
                                    e ->
                                            received.line(
                                                    e.getKey(),
                                                    perSecond(
                                                            seconds,
                                                            s -> e.getValue().received.at(s))));
                    page.append(received.svg());
                    if (backends.stream().anyMatch(e -> total(e.getValue().refused, seconds) > 0)) {
                        Chart refused =
                                chart(
                                        "Turned away by full backends of tier " + tier,
                                        "a second" + selection,
                                        seconds,
                                        faults);
                        backends.stream()
                                .limit(shown)
                                .sorted(Map.Entry.comparingByKey())
                                .forEach(
                                        e ->
                                                refused.line(
                                                        e.getKey(),
                                                        perSecond(
                                                                seconds,
                                                                s -> e.getValue().refused.at(s))));
                        page.append(refused.svg());
                    }
                });
    }

    private static double total(Series.Line line, int seconds) {
        double total = 0;
        for (int s = 0; s < seconds; s++) {
            total += line.at(s);
        }
        return total;
    }

    private static void faults(StringBuilder page, List<Timeline.Entry> faults) {
        if (faults.isEmpty()) {
            return;
        }
        page.append(
                "<h2>Faults</h2><table><tr><th class=\"n\">at, s</th><th class=\"n\">for, s</th>"
                        + "<th>what</th></tr>\n");
        for (Timeline.Entry fault : faults) {
            page.append(
                    String.format(
                            Locale.ROOT,
                            "<tr><td class=\"n\">%.2f</td><td class=\"n\">%.2f</td>"
                                    + "<td>%s</td></tr>%n",
                            fault.at() / 1e9,
                            fault.length() / 1e9,
                            Chart.text(fault.label())));
        }
        page.append("</table>\n");
    }

    private static void categories(StringBuilder page, Scenario scenario, Series series) {
        page.append(
                "<h2>Categories</h2><table><tr><th>name</th><th class=\"n\">finished</th><th"
                    + " class=\"n\">median, ms</th><th class=\"n\">99%, ms</th><th class=\"n\">due,"
                    + " ms</th></tr>\n");
        for (int c = 0; c < scenario.categories.size(); c++) {
            org.HdrHistogram.Histogram h = series.category(c);
            page.append(
                    String.format(
                            Locale.ROOT,
                            "<tr><td>%s</td><td class=\"n\">%d</td><td class=\"n\">%.1f</td>"
                                    + "<td class=\"n\">%.1f</td><td class=\"n\">%d</td></tr>%n",
                            Chart.text(scenario.categories.get(c).name()),
                            h.getTotalCount(),
                            h.getValueAtPercentile(50) / 1_000.0,
                            h.getValueAtPercentile(99) / 1_000.0,
                            scenario.categories.get(c).due() / 1_000_000));
        }
        page.append("</table>\n");
    }
}
