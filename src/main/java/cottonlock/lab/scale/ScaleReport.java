package cottonlock.lab.scale;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import cottonlock.lab.Chart;
import cottonlock.lab.Page;
import cottonlock.lab.scale.Samples.What;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** The result of a run: its verdict, the verdict line, a JSON object and an HTML page. */
final class ScaleReport {
    /** The verdict of a run; none if the machine ran late or the run was interrupted. */
    enum Verdict {
        PASS,
        FAIL,
        NONE
    }

    private static final Map<String, String> REPORTED_ROLES =
            Map.of(
                    ScaleRun.SIMULATED,
                    "hollow_proxy",
                    ScaleRun.REAL,
                    "real_proxy",
                    ScaleRun.CONTROL,
                    "control");

    private final ScaleRun run;
    private final ScaleFile file;

    /** The events that ran to their end. */
    private final List<ScaleEvent> events;

    private final boolean interrupted;
    private final String command;

    /**
     * Seconds of {@link System#nanoTime}, ends exclusive: the timeline after the start event, and
     * the ordinary event.
     */
    private final long fromSecond;

    private final long toSecond;
    private final long ordinaryFromSecond;
    private final long ordinaryToSecond;
    private final double worstLateMillis;
    private final double lateP999Millis;
    private final List<String> brokenBounds = new ArrayList<>();
    private final Verdict verdict;

    ScaleReport(ScaleRun run, boolean interrupted, String command) {
        this.run = run;
        this.file = run.file();
        this.interrupted = interrupted;
        this.command = command;
        events = run.events().stream().filter(ScaleEvent::completed).toList();
        ScaleEvent ordinary =
                events.stream().filter(e -> e.name.equals("ordinary")).findFirst().orElse(null);
        fromSecond = events.isEmpty() ? 0 : events.get(0).toSecond;
        toSecond = events.isEmpty() ? 0 : events.get(events.size() - 1).toSecond;
        ordinaryFromSecond = ordinary == null ? fromSecond : ordinary.fromSecond;
        ordinaryToSecond = ordinary == null ? toSecond : ordinary.toSecond;
        worstLateMillis =
                Math.max(run.watcher() == null ? 0 : run.watcher().worstMs(), run.controlLateMs());
        lateP999Millis = run.watcher() == null ? 0 : run.watcher().percentileMs(99.9);
        verdict = computeVerdict();
    }

    private Verdict computeVerdict() {
        for (ScaleEvent event : events) {
            if (event.missingCount() > 0) {
                brokenBounds.add(
                        event.name
                                + ": "
                                + event.missingCount()
                                + " times a change was not in force within "
                                + file.changeTimeoutNanos / 1_000_000
                                + " ms");
            } else if (event.changes.stream().anyMatch(c -> c.earlyCount > 0)) {
                brokenBounds.add(
                        event.name + ": a change came to proxies that were cut off from it");
            } else if (!event.name.equals("start")) {
                checkBound(
                        event.name + ": in force at all after ms",
                        event.worstInForceMillis(1),
                        file.expect.inForceMs());
            }
        }
        checkBound(
                "cpu_share of a hollow proxy, mean",
                meanPerInstance(ScaleRun.SIMULATED, What.CPU),
                file.expect.cpuShare());
        checkBound(
                "rss_mb of a hollow proxy",
                worstResidentMb(ScaleRun.SIMULATED),
                file.expect.rssMb());
        checkBound(
                "bytes_s of a hollow proxy, mean of the greater way",
                meanBytesPerSecond(),
                file.expect.bytesPerSecond());
        if (interrupted || worstLateMillis > file.lateLimitMs) {
            return Verdict.NONE;
        }
        return brokenBounds.isEmpty() ? Verdict.PASS : Verdict.FAIL;
    }

    private void checkBound(String what, double found, double limit) {
        if (found > limit) {
            brokenBounds.add(
                    String.format(
                            Locale.ROOT,
                            "%s: expected %s at most, found %.3f",
                            what,
                            limit,
                            found));
        }
    }

    private double meanBytesPerSecond() {
        return Math.max(
                meanPerInstance(ScaleRun.SIMULATED, What.BYTES_IN),
                meanPerInstance(ScaleRun.SIMULATED, What.BYTES_OUT));
    }

    /** Returns the mean per second and instance of the role during the ordinary event. */
    private double meanPerInstance(String role, What what) {
        return run.samples().mean(role, ordinaryFromSecond, ordinaryToSecond, what)
                / Math.max(1, run.roleSize(role));
    }

    /**
     * Returns the value of the worst second of the timeline, divided by the number of instances of
     * the role.
     */
    private double worstPerInstance(String role, What what) {
        return run.samples().worst(role, fromSecond, toSecond, what)
                / Math.max(1, run.roleSize(role));
    }

    private double worstResidentMb(String role) {
        return worstPerInstance(role, What.RESIDENT_MB);
    }

    Verdict verdict() {
        return verdict;
    }

    List<String> brokenBounds() {
        return brokenBounds;
    }

    /** Returns the last line of standard output. */
    String verdictLine() {
        double inForce =
                events.stream()
                        .filter(e -> !e.name.equals("start"))
                        .mapToDouble(e -> e.worstInForceMillis(1))
                        .max()
                        .orElse(0);
        int missing = events.stream().mapToInt(ScaleEvent::missingCount).sum();
        return String.format(
                Locale.ROOT,
                "verdict: %s size=%d real=%d hollow=%d seed=%d in_force_ms=%.0f missing=%d"
                    + " cpu_share=%.4f rss_mb=%.1f bytes_in_s=%.0f bytes_out_s=%.0f calls_s=%.0f"
                    + " views=%.3f late_ms=%.1f",
                verdict.name().toLowerCase(Locale.ROOT),
                file.fleet.size(),
                file.fleet.real(),
                run.roleSize(ScaleRun.SIMULATED),
                file.seed,
                inForce,
                missing,
                meanPerInstance(ScaleRun.SIMULATED, What.CPU),
                worstResidentMb(ScaleRun.SIMULATED),
                meanPerInstance(ScaleRun.SIMULATED, What.BYTES_IN),
                meanPerInstance(ScaleRun.SIMULATED, What.BYTES_OUT),
                run.samples().worst(ScaleRun.CONTROL, fromSecond, toSecond, What.CALLS),
                run.viewShare,
                worstLateMillis);
    }

    /** Writes scale-SIZE-SEED.json and .html into a folder. */
    void write(Path folder) throws IOException {
        Files.createDirectories(folder);
        String name = "scale-" + file.fleet.size() + "-" + file.seed;
        try (JsonGenerator json =
                new JsonFactory()
                        .createGenerator(Files.newBufferedWriter(folder.resolve(name + ".json")))) {
            json.useDefaultPrettyPrinter();
            writeJson(json);
        }
        Files.writeString(folder.resolve(name + ".html"), htmlPage());
    }

    private void writeJson(JsonGenerator json) throws IOException {
        json.writeStartObject();
        json.writeStringField("kind", "scale");
        json.writeNumberField("size", file.fleet.size());
        json.writeNumberField("real", file.fleet.real());
        json.writeNumberField("hollow", run.roleSize(ScaleRun.SIMULATED));
        json.writeNumberField("seed", file.seed);
        json.writeNumberField("regions", file.fleet.regions());
        json.writeNumberField("zones", file.fleet.zones());
        json.writeNumberField("services", file.fleet.services());
        json.writeStringField("file", file.name);
        json.writeStringField("command", command);
        json.writeStringField("commit", gitCommit());
        json.writeObjectFieldStart("machine");
        json.writeNumberField("cores", Runtime.getRuntime().availableProcessors());
        json.writeNumberField("memory_mb", Bounds.machineMb());
        writeNumber(json, "late_ms_p999", lateP999Millis);
        writeNumber(json, "late_ms_worst", worstLateMillis);
        writeNumber(json, "late_limit_ms", file.lateLimitMs);
        writeNumber(json, "estimated_mb", run.bounds().memoryMb);
        json.writeNumberField("processes", run.bounds().processes);
        json.writeEndObject();
        json.writeStringField("verdict", verdict.name().toLowerCase(Locale.ROOT));
        json.writeBooleanField("interrupted", interrupted);
        json.writeArrayFieldStart("broken");
        for (String line : brokenBounds) {
            json.writeString(line);
        }
        json.writeEndArray();
        json.writeObjectFieldStart("roles");
        for (String role : List.of(ScaleRun.SIMULATED, ScaleRun.REAL, ScaleRun.CONTROL)) {
            if (run.roleSize(role) > 0) {
                json.writeObjectFieldStart(REPORTED_ROLES.get(role));
                for (Map.Entry<String, Double> figure : figures(role).entrySet()) {
                    writeNumber(json, figure.getKey(), figure.getValue());
                }
                json.writeEndObject();
            }
        }
        json.writeEndObject();
        json.writeObjectFieldStart("events");
        for (ScaleEvent event : events) {
            writeEvent(json, event);
        }
        json.writeEndObject();
        json.writeObjectFieldStart("lists");
        json.writeNumberField("whole_bytes", run.completeListBytes);
        json.writeNumberField("entries", file.fleet.size());
        json.writeEndObject();
        json.writeObjectFieldStart("members");
        json.writeBooleanField("enabled", file.membership != null);
        writeNumber(json, "lists_settled_s", run.listSettledSeconds);
        writeNumber(json, "views_settled_s", run.viewsSettledSeconds);
        writeNumber(json, "views_share", run.viewShare);
        json.writeEndObject();
        json.writeEndObject();
    }

    private Map<String, Double> figures(String role) {
        Map<String, Double> figures = new LinkedHashMap<>();
        figures.put("cpu_share_mean", meanPerInstance(role, What.CPU));
        figures.put("cpu_share_worst", worstPerInstance(role, What.CPU));
        figures.put("rss_mb", worstResidentMb(role));
        for (What what :
                List.of(What.BYTES_IN, What.BYTES_OUT, What.MESSAGES_IN, What.MESSAGES_OUT)) {
            String name = what.name().toLowerCase(Locale.ROOT) + "_s_";
            figures.put(name + "mean", meanPerInstance(role, what));
            figures.put(name + "worst", worstPerInstance(role, what));
        }
        if (role.equals(ScaleRun.CONTROL)) {
            figures.put(
                    "calls_s_worst", run.samples().worst(role, fromSecond, toSecond, What.CALLS));
        } else if (role.equals(ScaleRun.SIMULATED) && file.membership != null) {
            figures.put(
                    "datagram_bytes_out_s_worst_one",
                    run.samples().worst(role, fromSecond, toSecond, What.WORST_OUT));
        }
        return figures;
    }

    private void writeEvent(JsonGenerator json, ScaleEvent event) throws IOException {
        json.writeObjectFieldStart(event.name);
        writeNumber(json, "in_force_ms_50", event.worstInForceMillis(0.5));
        writeNumber(json, "in_force_ms_99", event.worstInForceMillis(0.99));
        writeNumber(json, "in_force_ms_all", event.worstInForceMillis(1));
        json.writeNumberField("missing", event.missingCount());
        writeNumber(
                json,
                "bytes_in_s_worst",
                run.samples()
                                .worst(
                                        ScaleRun.SIMULATED,
                                        event.fromSecond,
                                        event.toSecond,
                                        What.BYTES_IN)
                        / Math.max(1, run.roleSize(ScaleRun.SIMULATED)));
        writeNumber(
                json,
                "cpu_share_worst",
                run.samples().worst(ScaleRun.SIMULATED, event.fromSecond, event.toSecond, What.CPU)
                        / Math.max(1, run.roleSize(ScaleRun.SIMULATED)));
        writeNumber(
                json,
                "calls_s_worst",
                run.samples()
                        .worst(ScaleRun.CONTROL, event.fromSecond, event.toSecond, What.CALLS));
        json.writeNumberField(
                "whole_lists",
                (long)
                        run.samples()
                                .sum(
                                        ScaleRun.CONTROL,
                                        event.fromSecond,
                                        event.toSecond,
                                        What.WHOLE_LISTS));
        for (Map.Entry<String, Double> figure : event.figures.entrySet()) {
            writeNumber(json, figure.getKey(), figure.getValue());
        }
        json.writeEndObject();
    }

    /**
     * Writes a number; a negative one is left out, since it was not measured or was never reached.
     */
    private static void writeNumber(JsonGenerator json, String name, double value)
            throws IOException {
        if (value >= 0) {
            json.writeFieldName(name);
            json.writeRawValue(
                    value == Math.rint(value)
                            ? Long.toString((long) value)
                            : String.format(Locale.ROOT, value < 1 ? "%.5f" : "%.2f", value));
        }
    }

    /** Returns the short id of the commit of the sources; empty if it is not known. */
    private static String gitCommit() throws IOException {
        Process git = null;
        try {
            git =
                    new ProcessBuilder("git", "rev-parse", "--short", "HEAD")
                            .redirectError(ProcessBuilder.Redirect.DISCARD)
                            .start();
            return new String(git.getInputStream().readAllBytes(), UTF_8).strip();
        } catch (IOException e) {
            return "";
        }
    }

    private String htmlPage() {
        int seconds = (int) Math.max(1, toSecond - firstSecond());
        double[] xs = new double[seconds];
        for (int i = 0; i < seconds; i++) {
            xs[i] = i;
        }
        List<Chart.Mark> marks = new ArrayList<>();
        events.forEach(
                e ->
                        marks.add(
                                new Chart.Mark(
                                        e.fromSecond - firstSecond(),
                                        e.toSecond - firstSecond(),
                                        e.name)));
        String word = verdict.name().toLowerCase(Locale.ROOT);
        StringBuilder page =
                new StringBuilder(Page.HEAD)
                        .append("<title>")
                        .append(Chart.text(file.name))
                        .append("</title>")
                        .append(Page.STYLE)
                        .append("</head><body>\n<h1>")
                        .append(Chart.text(file.name))
                        .append(" <span class=\"verdict ")
                        .append(word)
                        .append("\">")
                        .append(word)
                        .append("</span></h1>\n<p>")
                        .append(Chart.text(file.about))
                        .append("</p>\n<p><small>")
                        .append(Chart.text(verdictLine()))
                        .append("</small></p>\n");
        brokenBounds.forEach(
                line -> page.append("<p class=\"bad\">").append(Chart.text(line)).append("</p>\n"));
        page.append(
                "<table><tr><th>event</th><th class=\"n\">changes</th><th class=\"n\">at half,"
                        + " ms</th><th class=\"n\">at 99%</th><th class=\"n\">at all</th><th"
                        + " class=\"n\">missing</th></tr>\n");
        for (ScaleEvent e : events) {
            page.append(
                    String.format(
                            Locale.ROOT,
                            "<tr><td>%s</td><td class=\"n\">%d</td><td class=\"n\">%.0f</td><td"
                                    + " class=\"n\">%.0f</td><td class=\"n\">%.0f</td><td"
                                    + " class=\"n\">%d</td></tr>\n",
                            e.name,
                            e.changes.size(),
                            e.worstInForceMillis(0.5),
                            e.worstInForceMillis(0.99),
                            e.worstInForceMillis(1),
                            e.missingCount()));
        }
        page.append("</table>\n");
        addChart(page, xs, marks, "processor", "part of a core for each", What.CPU);
        addChart(page, xs, marks, "resident memory", "MB for each", What.RESIDENT_MB);
        addChart(page, xs, marks, "bytes in", "a second for each", What.BYTES_IN);
        addChart(page, xs, marks, "bytes out", "a second for each", What.BYTES_OUT);
        addChart(page, xs, marks, "messages in", "a second for each", What.MESSAGES_IN);
        page.append(
                new Chart(xs, "calls of control", "a second, all machines", "s", marks)
                        .line("calls", seriesValues(xs, ScaleRun.CONTROL, What.CALLS, 1))
                        .line(
                                "whole lists",
                                seriesValues(xs, ScaleRun.CONTROL, What.WHOLE_LISTS, 1))
                        .svg());
        return page.append("</body></html>\n").toString();
    }

    private long firstSecond() {
        return events.isEmpty() ? 0 : events.get(0).fromSecond;
    }

    private void addChart(
            StringBuilder page,
            double[] xs,
            List<Chart.Mark> marks,
            String title,
            String unit,
            What what) {
        Chart chart = new Chart(xs, title, unit, "s", marks);
        for (String role : List.of(ScaleRun.SIMULATED, ScaleRun.REAL)) {
            if (run.roleSize(role) > 0) {
                chart.line(role + " proxies", seriesValues(xs, role, what, run.roleSize(role)));
            }
        }
        page.append(chart.svg());
    }

    private double[] seriesValues(double[] xs, String role, What what, int roleSize) {
        double[] values = new double[xs.length];
        for (int i = 0; i < xs.length; i++) {
            values[i] = run.samples().at(role, firstSecond() + i, what) / roleSize;
        }
        return values;
    }
}
