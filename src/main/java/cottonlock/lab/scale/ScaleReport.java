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

/** What a run came to: the verdict, a line for people and programs, a JSON object and a page. */
final class ScaleReport {
    /** What a run showed; none where the machine was late or the run was ended. */
    enum Verdict {
        PASS,
        FAIL,
        NONE
    }

    private static final Map<String, String> ROLES =
            Map.of(
                    ScaleRun.HOLLOW,
                    "hollow_proxy",
                    ScaleRun.REAL,
                    "real_proxy",
                    ScaleRun.CONTROL,
                    "control");

    private final ScaleRun run;
    private final ScaleFile file;

    /** Those that were played to their end. */
    private final List<ScaleEvent> events;

    private final boolean interrupted;
    private final String command;

    /** Seconds of the shared clock: of the timeline behind the start, and of its ordinary part. */
    private final long from;

    private final long to;
    private final long ordinaryFrom;
    private final long ordinaryTo;
    private final double lateMs;
    private final double lateP999;
    private final List<String> broken = new ArrayList<>();
    private final Verdict verdict;

    ScaleReport(ScaleRun run, boolean interrupted, String command) {
        this.run = run;
        this.file = run.file();
        this.interrupted = interrupted;
        this.command = command;
        events = run.events().stream().filter(ScaleEvent::whole).toList();
        ScaleEvent ordinary =
                events.stream().filter(e -> e.name.equals("ordinary")).findFirst().orElse(null);
        from = events.isEmpty() ? 0 : events.get(0).to;
        to = events.isEmpty() ? 0 : events.get(events.size() - 1).to;
        ordinaryFrom = ordinary == null ? from : ordinary.from;
        ordinaryTo = ordinary == null ? to : ordinary.to;
        lateMs = Math.max(run.watcher() == null ? 0 : run.watcher().worstMs(), run.controlLateMs());
        lateP999 = run.watcher() == null ? 0 : run.watcher().percentileMs(99.9);
        verdict = judge();
    }

    private Verdict judge() {
        for (ScaleEvent event : events) {
            if (event.missing() > 0) {
                broken.add(
                        event.name
                                + ": "
                                + event.missing()
                                + " times a change was not in force within "
                                + file.patience / 1_000_000
                                + " ms");
            } else if (event.changes.stream().anyMatch(c -> c.early > 0)) {
                broken.add(event.name + ": a change came to proxies that were cut off from it");
            } else if (!event.name.equals("start")) {
                bound(
                        event.name + ": in force at all after ms",
                        event.worstMs(1),
                        file.expect.inForceMs());
            }
        }
        bound(
                "cpu_share of a hollow proxy, mean",
                mean(ScaleRun.HOLLOW, What.CPU),
                file.expect.cpuShare());
        bound("rss_mb of a hollow proxy", resident(ScaleRun.HOLLOW), file.expect.rssMb());
        bound("bytes_s of a hollow proxy, mean of the greater way", bytes(), file.expect.bytes());
        if (interrupted || lateMs > file.lateLimitMs) {
            return Verdict.NONE;
        }
        return broken.isEmpty() ? Verdict.PASS : Verdict.FAIL;
    }

    private void bound(String what, double found, double most) {
        if (found > most) {
            broken.add(
                    String.format(
                            Locale.ROOT, "%s: expected %s at most, found %.3f", what, most, found));
        }
    }

    private double bytes() {
        return Math.max(
                mean(ScaleRun.HOLLOW, What.BYTES_IN), mean(ScaleRun.HOLLOW, What.BYTES_OUT));
    }

    /** For one of the role: over the ordinary part, a second. */
    private double mean(String role, What what) {
        return run.samples().mean(role, ordinaryFrom, ordinaryTo, what)
                / Math.max(1, run.count(role));
    }

    /** For one of the role in the mean: the worst second of the timeline. */
    private double worst(String role, What what) {
        return run.samples().worst(role, from, to, what) / Math.max(1, run.count(role));
    }

    private double resident(String role) {
        return worst(role, What.RESIDENT_MB);
    }

    Verdict verdict() {
        return verdict;
    }

    List<String> broken() {
        return broken;
    }

    /** The last line of standard output. */
    String line() {
        double inForce =
                events.stream()
                        .filter(e -> !e.name.equals("start"))
                        .mapToDouble(e -> e.worstMs(1))
                        .max()
                        .orElse(0);
        int missing = events.stream().mapToInt(ScaleEvent::missing).sum();
        return String.format(
                Locale.ROOT,
                "verdict: %s size=%d real=%d hollow=%d seed=%d in_force_ms=%.0f missing=%d"
                    + " cpu_share=%.4f rss_mb=%.1f bytes_in_s=%.0f bytes_out_s=%.0f calls_s=%.0f"
                    + " views=%.3f late_ms=%.1f",
                verdict.name().toLowerCase(Locale.ROOT),
                file.fleet.size(),
                file.fleet.real(),
                run.count(ScaleRun.HOLLOW),
                file.seed,
                inForce,
                missing,
                mean(ScaleRun.HOLLOW, What.CPU),
                resident(ScaleRun.HOLLOW),
                mean(ScaleRun.HOLLOW, What.BYTES_IN),
                mean(ScaleRun.HOLLOW, What.BYTES_OUT),
                run.samples().worst(ScaleRun.CONTROL, from, to, What.CALLS),
                run.viewsShare,
                lateMs);
    }

    /** Writes scale-SIZE-SEED.json and .html into a folder. */
    void write(Path folder) throws IOException {
        Files.createDirectories(folder);
        String name = "scale-" + file.fleet.size() + "-" + file.seed;
        try (JsonGenerator json =
                new JsonFactory()
                        .createGenerator(Files.newBufferedWriter(folder.resolve(name + ".json")))) {
            json.useDefaultPrettyPrinter();
            json(json);
        }
        Files.writeString(folder.resolve(name + ".html"), page());
    }

    private void json(JsonGenerator json) throws IOException {
        json.writeStartObject();
        json.writeStringField("kind", "scale");
        json.writeNumberField("size", file.fleet.size());
        json.writeNumberField("real", file.fleet.real());
        json.writeNumberField("hollow", run.count(ScaleRun.HOLLOW));
        json.writeNumberField("seed", file.seed);
        json.writeNumberField("regions", file.fleet.regions());
        json.writeNumberField("zones", file.fleet.zones());
        json.writeNumberField("services", file.fleet.services());
        json.writeStringField("file", file.name);
        json.writeStringField("command", command);
        json.writeStringField("commit", commit());
        json.writeObjectFieldStart("machine");
        json.writeNumberField("cores", Runtime.getRuntime().availableProcessors());
        json.writeNumberField("memory_mb", Bounds.machineMb());
        number(json, "late_ms_p999", lateP999);
        number(json, "late_ms_worst", lateMs);
        number(json, "late_limit_ms", file.lateLimitMs);
        number(json, "estimated_mb", run.bounds().memoryMb);
        json.writeNumberField("processes", run.bounds().processes);
        json.writeEndObject();
        json.writeStringField("verdict", verdict.name().toLowerCase(Locale.ROOT));
        json.writeBooleanField("interrupted", interrupted);
        json.writeArrayFieldStart("broken");
        for (String line : broken) {
            json.writeString(line);
        }
        json.writeEndArray();
        json.writeObjectFieldStart("roles");
        for (String role : List.of(ScaleRun.HOLLOW, ScaleRun.REAL, ScaleRun.CONTROL)) {
            if (run.count(role) > 0) {
                json.writeObjectFieldStart(ROLES.get(role));
                for (Map.Entry<String, Double> figure : figures(role).entrySet()) {
                    number(json, figure.getKey(), figure.getValue());
                }
                json.writeEndObject();
            }
        }
        json.writeEndObject();
        json.writeObjectFieldStart("events");
        for (ScaleEvent event : events) {
            event(json, event);
        }
        json.writeEndObject();
        json.writeObjectFieldStart("lists");
        json.writeNumberField("whole_bytes", run.wholeBytes);
        json.writeNumberField("entries", file.fleet.size());
        json.writeEndObject();
        json.writeObjectFieldStart("members");
        json.writeBooleanField("enabled", file.membership != null);
        number(json, "lists_settled_s", run.listSettled);
        number(json, "views_settled_s", run.viewsSettled);
        number(json, "views_share", run.viewsShare);
        json.writeEndObject();
        json.writeEndObject();
    }

    private Map<String, Double> figures(String role) {
        Map<String, Double> figures = new LinkedHashMap<>();
        figures.put("cpu_share_mean", mean(role, What.CPU));
        figures.put("cpu_share_worst", worst(role, What.CPU));
        figures.put("rss_mb", resident(role));
        for (What what :
                List.of(What.BYTES_IN, What.BYTES_OUT, What.MESSAGES_IN, What.MESSAGES_OUT)) {
            String name = what.name().toLowerCase(Locale.ROOT) + "_s_";
            figures.put(name + "mean", mean(role, what));
            figures.put(name + "worst", worst(role, what));
        }
        if (role.equals(ScaleRun.CONTROL)) {
            figures.put("calls_s_worst", run.samples().worst(role, from, to, What.CALLS));
        } else if (role.equals(ScaleRun.HOLLOW) && file.membership != null) {
            figures.put(
                    "datagram_bytes_out_s_worst_one",
                    run.samples().worst(role, from, to, What.WORST_OUT));
        }
        return figures;
    }

    private void event(JsonGenerator json, ScaleEvent event) throws IOException {
        json.writeObjectFieldStart(event.name);
        number(json, "in_force_ms_50", event.worstMs(0.5));
        number(json, "in_force_ms_99", event.worstMs(0.99));
        number(json, "in_force_ms_all", event.worstMs(1));
        json.writeNumberField("missing", event.missing());
        number(
                json,
                "bytes_in_s_worst",
                run.samples().worst(ScaleRun.HOLLOW, event.from, event.to, What.BYTES_IN)
                        / Math.max(1, run.count(ScaleRun.HOLLOW)));
        number(
                json,
                "cpu_share_worst",
                run.samples().worst(ScaleRun.HOLLOW, event.from, event.to, What.CPU)
                        / Math.max(1, run.count(ScaleRun.HOLLOW)));
        number(
                json,
                "calls_s_worst",
                run.samples().worst(ScaleRun.CONTROL, event.from, event.to, What.CALLS));
        json.writeNumberField(
                "whole_lists",
                (long) run.samples().sum(ScaleRun.CONTROL, event.from, event.to, What.WHOLE_LISTS));
        for (Map.Entry<String, Double> figure : event.figures.entrySet()) {
            number(json, figure.getKey(), figure.getValue());
        }
        json.writeEndObject();
    }

    /** A negative one is not there: it was not measured, or never came about. */
    private static void number(JsonGenerator json, String name, double value) throws IOException {
        if (value >= 0) {
            json.writeFieldName(name);
            json.writeRawValue(
                    value == Math.rint(value)
                            ? Long.toString((long) value)
                            : String.format(Locale.ROOT, value < 1 ? "%.5f" : "%.2f", value));
        }
    }

    /** The short name of the sources' commit; empty where that is not known. */
    private static String commit() throws IOException {
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

    private String page() {
        int seconds = (int) Math.max(1, to - start());
        double[] xs = new double[seconds];
        for (int i = 0; i < seconds; i++) {
            xs[i] = i;
        }
        List<Chart.Mark> marks = new ArrayList<>();
        events.forEach(e -> marks.add(new Chart.Mark(e.from - start(), e.to - start(), e.name)));
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
                        .append(Chart.text(line()))
                        .append("</small></p>\n");
        broken.forEach(
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
                            e.worstMs(0.5),
                            e.worstMs(0.99),
                            e.worstMs(1),
                            e.missing()));
        }
        page.append("</table>\n");
        chart(page, xs, marks, "processor", "part of a core for each", What.CPU);
        chart(page, xs, marks, "resident memory", "MB for each", What.RESIDENT_MB);
        chart(page, xs, marks, "bytes in", "a second for each", What.BYTES_IN);
        chart(page, xs, marks, "bytes out", "a second for each", What.BYTES_OUT);
        chart(page, xs, marks, "messages in", "a second for each", What.MESSAGES_IN);
        page.append(
                new Chart(xs, "calls of control", "a second, all machines", "s", marks)
                        .line("calls", values(xs, ScaleRun.CONTROL, What.CALLS, 1))
                        .line("whole lists", values(xs, ScaleRun.CONTROL, What.WHOLE_LISTS, 1))
                        .svg());
        return page.append("</body></html>\n").toString();
    }

    private long start() {
        return events.isEmpty() ? 0 : events.get(0).from;
    }

    private void chart(
            StringBuilder page,
            double[] xs,
            List<Chart.Mark> marks,
            String title,
            String unit,
            What what) {
        Chart chart = new Chart(xs, title, unit, "s", marks);
        for (String role : List.of(ScaleRun.HOLLOW, ScaleRun.REAL)) {
            if (run.count(role) > 0) {
                chart.line(role + " proxies", values(xs, role, what, run.count(role)));
            }
        }
        page.append(chart.svg());
    }

    private double[] values(double[] xs, String role, What what, int among) {
        double[] values = new double[xs.length];
        for (int i = 0; i < xs.length; i++) {
            values[i] = run.samples().at(role, start() + i, what) / among;
        }
        return values;
    }
}
