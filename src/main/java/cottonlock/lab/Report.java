package cottonlock.lab;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Writes the results of a run into a folder: report.json, report.html, schedule.tsv and ledger.txt.
 */
final class Report {
    /**
     * The format version of report.json. A reader refuses newer versions; within a version fields
     * are only added.
     */
    static final int VERSION = 1;

    private static final double[] PERCENTILES = {50, 90, 99, 99.9};

    private Report() {}

    static void write(Path folder, Experiment run, Verdict verdict) throws IOException {
        Files.createDirectories(folder);
        writeJson(folder.resolve("report.json"), run, verdict);
        Files.writeString(folder.resolve("report.html"), Page.of(run, verdict));
        writeSchedule(folder.resolve("schedule.tsv"), run.schedule(), run.timeline());
        List<String> lines = new ArrayList<>(run.ledger().lines());
        run.ledger()
                .doubleEffectsByCategory()
                .forEach((where, n) -> lines.add("twice: " + n + " of " + where));
        Files.write(folder.resolve("ledger.txt"), lines);
        for (Map.Entry<String, String> log : run.logs().entrySet()) {
            Files.writeString(folder.resolve(log.getKey() + ".log"), log.getValue());
        }
    }

    /**
     * Writes the schedule that the seed determines: byte for byte the same in every run of the
     * seed.
     */
    static void writeSchedule(
            Path file, List<Arrivals.Arrival> arrivals, List<Timeline.Entry> faults)
            throws IOException {
        try (Writer out = Files.newBufferedWriter(file, StandardCharsets.UTF_8)) {
            out.write("# fault: at_ms\tfor_ms\tkind\tbackends\tproxy\tamount\n");
            for (Timeline.Entry fault : faults) {
                out.write(fault.tsvLine() + "\n");
            }
            out.write("# arrival: number\tat_ms\ttenant\tcategory\troom\twork_ms\tdraw\tleaves\n");
            for (int i = 0; i < arrivals.size(); i++) {
                out.write(arrivals.get(i).line(i) + "\n");
            }
        }
    }

    private static void writeJson(Path file, Experiment run, Verdict verdict) throws IOException {
        Scenario scenario = run.scenario();
        Series series = run.series();
        int seconds = (int) (scenario.length / 1_000_000_000L);
        try (JsonGenerator json =
                new JsonFactory().createGenerator(Files.newBufferedWriter(file))) {
            json.useDefaultPrettyPrinter();
            json.writeStartObject();
            json.writeNumberField("version", VERSION);
            json.writeStringField("scenario", scenario.name);
            json.writeNumberField("seed", scenario.seed);
            json.writeNumberField("seconds", scenario.length / 1e9);
            json.writeStringField("policy", scenario.proxies.policy());
            json.writeBooleanField("interrupted", run.interrupted());
            json.writeStringField("verdict", verdict.word());
            json.writeObjectFieldStart("figures");
            for (String key : verdict.keys) {
                json.writeFieldName(key);
                json.writeRawValue(verdict.format(key));
            }
            json.writeEndObject();
            json.writeArrayFieldStart("broken");
            for (String line : verdict.broken) {
                json.writeString(line);
            }
            json.writeEndArray();
            json.writeObjectFieldStart("machine");
            json.writeNumberField("cores", Runtime.getRuntime().availableProcessors());
            json.writeStringField("java", System.getProperty("java.version"));
            json.writeNumberField("late_p50_ms", run.late().getValueAtPercentile(50) / 1_000.0);
            json.writeNumberField("late_max_ms", run.late().getMaxValue() / 1_000.0);
            json.writeEndObject();
            json.writeArrayFieldStart("faults");
            for (Timeline.Entry fault : run.timeline()) {
                json.writeStartObject();
                json.writeNumberField("at_s", fault.at() / 1e9);
                json.writeNumberField("for_s", fault.length() / 1e9);
                json.writeStringField("what", fault.label());
                json.writeEndObject();
            }
            json.writeEndArray();
            // The second half of the run, when JIT compilation and first connections no longer
            // distort the figures.
            org.HdrHistogram.Histogram steady = series.from(seconds / 2);
            json.writeObjectFieldStart("steady");
            json.writeNumberField("from_s", seconds / 2);
            json.writeNumberField("finished", steady.getTotalCount());
            for (double p : PERCENTILES) {
                json.writeNumberField(
                        "p" + (p == Math.rint(p) ? "" + (int) p : "" + p) + "_ms",
                        steady.getValueAtPercentile(p) / 1_000.0);
            }
            json.writeEndObject();
            json.writeObjectFieldStart("per_second");
            for (Series.Count what : Series.Count.values()) {
                json.writeArrayFieldStart(what.name().toLowerCase(java.util.Locale.ROOT));
                for (int s = 0; s < seconds; s++) {
                    json.writeNumber(series.line(what).at(s));
                }
                json.writeEndArray();
            }
            for (double p : PERCENTILES) {
                json.writeArrayFieldStart(
                        "p" + (p == Math.rint(p) ? "" + (int) p : "" + p) + "_ms");
                for (int s = 0; s < seconds; s++) {
                    json.writeNumber(series.latency(s, p));
                }
                json.writeEndArray();
            }
            json.writeArrayFieldStart("service");
            for (int s = 0; s < seconds; s++) {
                json.writeNumber(series.service(s));
            }
            json.writeEndArray();
            json.writeEndObject();
            json.writeObjectFieldStart("tenants");
            for (int t = 0; t < scenario.tenants.size(); t++) {
                json.writeNumberField(scenario.tenants.get(t).name(), series.service(t, -1));
            }
            json.writeEndObject();
            json.writeObjectFieldStart("categories");
            for (int c = 0; c < scenario.categories.size(); c++) {
                json.writeObjectFieldStart(scenario.categories.get(c).name());
                json.writeNumberField("finished", series.category(c).getTotalCount());
                for (double p : PERCENTILES) {
                    json.writeNumberField(
                            "p" + (p == Math.rint(p) ? "" + (int) p : "" + p) + "_ms",
                            series.category(c).getValueAtPercentile(p) / 1_000.0);
                }
                json.writeEndObject();
            }
            json.writeEndObject();
            json.writeObjectFieldStart("backends");
            for (Map.Entry<String, Series.BackendCounts> backend : series.backends().entrySet()) {
                json.writeObjectFieldStart(backend.getKey());
                writeLine(json, "received", backend.getValue().received, seconds);
                writeLine(json, "done", backend.getValue().done, seconds);
                writeLine(json, "refused", backend.getValue().refused, seconds);
                json.writeEndObject();
            }
            json.writeEndObject();
            json.writeEndObject();
        }
    }

    private static void writeLine(JsonGenerator json, String name, Series.Line line, int seconds)
            throws IOException {
        json.writeArrayFieldStart(name);
        for (int s = 0; s < seconds; s++) {
            json.writeNumber(line.at(s));
        }
        json.writeEndArray();
    }

    /** The parts of a report that a comparison uses. */
    record Summary(
            String file,
            String scenario,
            String policy,
            long seed,
            String verdict,
            Map<String, Double> figures) {}

    /** Reads a report, or the report in a folder, of this format version or an older one. */
    static Summary read(Path path) throws IOException {
        Path file = Files.isDirectory(path) ? path.resolve("report.json") : path;
        Map<String, Double> figures = new LinkedHashMap<>();
        Map<String, String> texts = new LinkedHashMap<>();
        try (JsonParser json = new JsonFactory().createParser(Files.readString(file))) {
            if (json.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException(
                        file + ": expected a report of the lab, found no JSON object");
            }
            while (json.nextToken() == JsonToken.FIELD_NAME) {
                String name = json.currentName();
                json.nextToken();
                if (name.equals("figures") && json.currentToken() == JsonToken.START_OBJECT) {
                    while (json.nextToken() == JsonToken.FIELD_NAME) {
                        String key = json.currentName();
                        json.nextToken();
                        figures.put(key, json.getDoubleValue());
                    }
                } else if (json.currentToken().isScalarValue()) {
                    texts.put(name, json.getText());
                } else {
                    json.skipChildren();
                }
            }
        } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
            throw new IOException(file + ": no report of the lab: " + e.getOriginalMessage(), e);
        }
        String version = texts.getOrDefault("version", "");
        if (!version.matches("[0-9]{1,6}") || Integer.parseInt(version) > VERSION) {
            throw new IOException(
                    file
                            + ": expected a report of version "
                            + VERSION
                            + " or older, found "
                            + (version.isEmpty() ? "none" : version));
        }
        return new Summary(
                file.toString(),
                texts.getOrDefault("scenario", "?"),
                texts.getOrDefault("policy", "?"),
                Long.parseLong(texts.getOrDefault("seed", "0")),
                texts.getOrDefault("verdict", "?"),
                figures);
    }
}
