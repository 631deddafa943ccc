package cottonlock.lab.scale;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import cottonlock.lab.Lab;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * Measures the latency that a proxy adds to a call over one, two or three tiers. The same schedule
 * is played with the real proxy in processes of its own, with the lab's round-robin relay (policy
 * {@code round}), and without a proxy ({@code direct}). Percentiles are those of the second half of
 * each run, after JIT compilation. The measurement has a verdict only if all three runs have one; a
 * run is repeated, at most twice, if the machine ran late, whatever it measured.
 */
final class LatencyMeasure {
    /** The policies in the order in which they are played. */
    private static final List<String> POLICIES = List.of("direct", "round", "lanes");

    /** The name of each policy's run in the result file. */
    private static final Map<String, String> RESULT_NAMES =
            Map.of("direct", "none", "round", "relay", "lanes", "proxy");

    private static final int MAX_PLAYS = 3;

    /** The lab's exit status if the machine ran too late for a verdict. */
    private static final int LATE_EXIT_STATUS = 3;

    /** The figures that are copied from each report. */
    private static final List<String> REPORT_FIGURES =
            List.of("service", "deferred", "lost", "twice", "drains", "cold", "behind_ms");

    private final int tiers;
    private final long seed;
    private final PrintStream err;

    LatencyMeasure(int tiers, long seed, PrintStream err) {
        this.tiers = tiers;
        this.seed = seed;
        this.err = err;
    }

    /** Plays the runs and writes the result; returns its verdict. */
    String play(Path result, String command, String commit)
            throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("cottonlock-latency");
        Path scenario = Path.of("scenarios", "latency-" + tiers + ".toml");
        Map<String, Map<String, String>> runs = new TreeMap<>();
        try (Lateness lateness = new Lateness()) {
            String verdict = "pass";
            for (String policy : POLICIES) {
                Path out = folder.resolve(policy);
                int status = LATE_EXIT_STATUS;
                int plays = 0;
                while (status == LATE_EXIT_STATUS && plays < MAX_PLAYS) {
                    plays++;
                    status =
                            new Lab(err, err, false)
                                    .run(
                                            scenario,
                                            seed,
                                            List.of("proxy.policy=\"" + policy + "\""),
                                            out,
                                            policy.equals("lanes"));
                }
                if (!Files.exists(out.resolve("report.json"))) {
                    throw new IOException(scenario + " could not be played with policy " + policy);
                }
                runs.put(RESULT_NAMES.get(policy), flattenReport(out.resolve("report.json")));
                runs.get(RESULT_NAMES.get(policy)).put("plays", Integer.toString(plays));
                verdict =
                        verdict.equals("none") || status == LATE_EXIT_STATUS
                                ? "none"
                                : status == 0 ? verdict : "fail";
            }
            lateness.stop();
            try (JsonGenerator json =
                    new JsonFactory().createGenerator(Files.newBufferedWriter(result))) {
                json.useDefaultPrettyPrinter();
                json.writeStartObject();
                json.writeStringField("kind", "latency");
                json.writeNumberField("size", tiers);
                json.writeNumberField("seed", seed);
                json.writeStringField("command", command);
                json.writeStringField("commit", commit);
                lateness.writeMachine(json);
                json.writeStringField("verdict", verdict);
                json.writeObjectFieldStart("runs");
                for (Map.Entry<String, Map<String, String>> run : runs.entrySet()) {
                    json.writeObjectFieldStart(run.getKey());
                    json.writeStringField("verdict", run.getValue().get("verdict"));
                    writeRawNumber(json, "plays", run.getValue().get("plays"));
                    for (String key : REPORT_FIGURES) {
                        writeRawNumber(json, key, run.getValue().get("figures." + key));
                    }
                    for (String key : List.of("from_s", "finished", "p50_ms", "p99_ms")) {
                        writeRawNumber(json, "steady_" + key, run.getValue().get("steady." + key));
                    }
                    json.writeEndObject();
                }
                json.writeEndObject();
                json.writeObjectFieldStart("added");
                for (String baseline : List.of("relay", "none")) {
                    for (String key : List.of("p50_ms", "p99_ms")) {
                        double proxy = Double.parseDouble(runs.get("proxy").get("steady." + key));
                        double other = Double.parseDouble(runs.get(baseline).get("steady." + key));
                        writeRawNumber(
                                json,
                                "to_" + baseline + "_" + key,
                                Double.toString(Math.round((proxy - other) * 1_000) / 1_000.0));
                    }
                }
                json.writeEndObject();
                json.writeEndObject();
            }
            return verdict;
        } finally {
            try (Stream<Path> files = Files.walk(folder)) {
                for (Path file : files.sorted(java.util.Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            }
        }
    }

    private static void writeRawNumber(JsonGenerator json, String key, String number)
            throws IOException {
        json.writeFieldName(key);
        json.writeRawValue(number);
    }

    /** The scalar values of a report's first two levels, by path. */
    private static Map<String, String> flattenReport(Path report) throws IOException {
        Map<String, String> values = new TreeMap<>();
        try (JsonParser json = new JsonFactory().createParser(Files.readString(report))) {
            json.nextToken();
            while (json.nextToken() == JsonToken.FIELD_NAME) {
                String outer = json.currentName();
                if (json.nextToken() == JsonToken.START_OBJECT) {
                    while (json.nextToken() == JsonToken.FIELD_NAME) {
                        String key = outer + "." + json.currentName();
                        if (json.nextToken().isScalarValue()) {
                            values.put(key, json.getText());
                        } else {
                            json.skipChildren();
                        }
                    }
                } else if (json.currentToken().isScalarValue()) {
                    values.put(outer, json.getText());
                } else {
                    json.skipChildren();
                }
            }
        }
        return values;
    }
}
