package cottonlock.lab;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import cottonlock.lab.rollout.RolloutStudy;
import cottonlock.lab.rollout.RolloutStudy.Outcome;
import cottonlock.rollout.RolloutVariants;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Simulates rollouts of configuration versions for each size and seed, prints a line for each case,
 * and writes a file with all of them.
 */
final class RolloutReport {
    /** The time within which a new version must be in force at all proxies. */
    private static final long MAX_IN_FORCE_MILLIS = 10_000;

    private final PrintStream out;
    private final String commit;
    private final Path folder;

    /**
     * Creates a report.
     *
     * @param folder where files are written; null for no files
     */
    RolloutReport(PrintStream out, String commit, Path folder) {
        this.out = out;
        this.commit = commit;
        this.folder = folder;
    }

    /**
     * Simulates all cases.
     *
     * @return whether each case was in force in time at all proxies, and none went back, was harmed
     *     or differs
     */
    boolean play(List<Integer> sizes, List<Long> seeds) throws IOException {
        boolean promiseKept = true;
        out.println(
                " size  seed  case            in force, ms: half   99%    all  calls/s  bytes/s "
                        + " back  harmed  differ");
        for (int size : sizes) {
            for (long seed : seeds) {
                RolloutStudy study = new RolloutStudy(size, seed, RolloutVariants.DEFAULT);
                Outcome quiet = study.quiet();
                promiseKept &= printCase(size, seed, "quiet", quiet);
                Map<String, Outcome> events = new LinkedHashMap<>();
                study.cases().forEach((name, play) -> events.put(name, play.get()));
                for (Map.Entry<String, Outcome> event : events.entrySet()) {
                    promiseKept &= printCase(size, seed, event.getKey(), event.getValue());
                }
                if (folder != null) {
                    write(size, seed, quiet, events);
                }
            }
        }
        return promiseKept;
    }

    private boolean printCase(int size, long seed, String name, Outcome o) {
        out.printf(
                Locale.ROOT,
                "%5d  %4d  %-15s  %16d %5d %6d  %7d  %7d  %4d  %6d  %6d  %s%n",
                size,
                seed,
                name,
                o.half(),
                o.most(),
                o.all(),
                o.calls(),
                o.bytes(),
                o.back(),
                o.harmed(),
                o.differ(),
                o.more());
        return o.all() >= 0
                && o.all() <= MAX_IN_FORCE_MILLIS
                && o.back() + o.harmed() + o.differ() == 0;
    }

    private void write(int size, long seed, Outcome quiet, Map<String, Outcome> events)
            throws IOException {
        Files.createDirectories(folder);
        Path file = folder.resolve("rollout-" + size + "-" + seed + ".json");
        try (JsonGenerator json =
                new JsonFactory().createGenerator(Files.newBufferedWriter(file))) {
            json.useDefaultPrettyPrinter();
            json.writeStartObject();
            json.writeStringField("kind", "rollout");
            json.writeNumberField("size", size);
            json.writeNumberField("seed", seed);
            json.writeNumberField("control", RolloutStudy.CONTROL);
            json.writeNumberField("regions", RolloutStudy.REGIONS);
            json.writeNumberField("zones", RolloutStudy.ZONES);
            json.writeStringField(
                    "command",
                    "java -jar target/cottonlock.jar lab rollout --sizes "
                            + size
                            + " --seeds "
                            + seed);
            json.writeStringField("commit", commit);
            json.writeObjectFieldStart("figures");
            json.writeNumberField("in_force_ms_50", quiet.half());
            json.writeNumberField("in_force_ms_99", quiet.most());
            json.writeNumberField("in_force_ms_all", quiet.all());
            json.writeNumberField("bytes_s_mean", quiet.more().get("mean"));
            json.writeNumberField("bytes_s_worst", quiet.bytes());
            json.writeNumberField("calls_s_worst", quiet.calls());
            json.writeEndObject();
            json.writeObjectFieldStart("events");
            for (Map.Entry<String, Outcome> event : events.entrySet()) {
                Outcome o = event.getValue();
                json.writeObjectFieldStart(event.getKey());
                json.writeNumberField("in_force_ms_50", o.half());
                json.writeNumberField("in_force_ms_99", o.most());
                json.writeNumberField("in_force_ms_all", o.all());
                json.writeNumberField("bytes_s_worst", o.bytes());
                json.writeNumberField("calls_s_worst", o.calls());
                json.writeNumberField("went_back", o.back());
                json.writeNumberField("harmed", o.harmed());
                json.writeNumberField("differ", o.differ());
                for (Map.Entry<String, Long> more : o.more().entrySet()) {
                    json.writeNumberField(more.getKey(), more.getValue());
                }
                json.writeEndObject();
            }
            json.writeEndObject();
            json.writeEndObject();
        }
    }
}
