package cottonlock.lab.soak;

import cottonlock.lab.Lab;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.Stream;

/**
 * Runs seeds of the soak and prints a line for each. The reports and logs of a seed that did not
 * pass are kept in the folder {@code seed-N}.
 */
public final class Soak {
    private static final int PASS = 0;
    private static final int FAIL = 1;
    private static final int UNUSABLE = 2;
    private static final int NO_VERDICT = 3;

    private final Path scenario;
    private final Path folder;
    private final PrintStream out;

    /**
     * Creates a soak.
     *
     * @param scenario the scenario to which each seed's faults are added
     * @param folder where a seed that did not pass leaves its reports and logs
     * @param out receives the lines
     */
    public Soak(Path scenario, Path folder, PrintStream out) {
        this.scenario = scenario;
        this.folder = folder;
        this.out = out;
    }

    /** The result of one seed: the exit status of its run, and its lines. */
    private record Outcome(int status, String text) {}

    /**
     * Runs the seeds, {@code parallel} at a time, and prints their lines in order.
     *
     * @return 0 if all passed; 1 if one failed; 2 if the scenario can't be used; 3 if none failed,
     *     but the machine ran late in one, so that it has no verdict
     */
    public int play(long firstSeed, long lastSeed, int parallel) throws InterruptedException {
        ExecutorService runners = Executors.newFixedThreadPool(parallel);
        try {
            List<Future<Outcome>> outcomes = new ArrayList<>();
            for (long seed = firstSeed; seed <= lastSeed; seed++) {
                long next = seed;
                outcomes.add(runners.submit(() -> play(next)));
            }
            List<Integer> statuses = new ArrayList<>();
            for (Future<Outcome> outcome : outcomes) {
                Outcome result = outcome.get();
                out.print(result.text);
                out.flush();
                statuses.add(result.status);
            }
            return summarize(statuses);
        } catch (ExecutionException e) {
            out.println("the soak itself failed: " + e.getCause());
            return UNUSABLE;
        } finally {
            runners.shutdownNow();
        }
    }

    private int summarize(List<Integer> statuses) {
        long passed = statuses.stream().filter(status -> status == PASS).count();
        long undecided = statuses.stream().filter(status -> status == NO_VERDICT).count();
        out.println(
                passed
                        + " passed, "
                        + (statuses.size() - passed - undecided)
                        + " failed, "
                        + undecided
                        + " without a verdict");
        if (statuses.contains(UNUSABLE)) {
            return UNUSABLE;
        }
        return statuses.contains(FAIL) ? FAIL : undecided > 0 ? NO_VERDICT : PASS;
    }

    private Outcome play(long seed) throws InterruptedException {
        SoakPlan plan = new SoakPlan(seed);
        Path seedFolder = folder.resolve("seed-" + seed);
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        PrintStream lines = new PrintStream(text, true, StandardCharsets.UTF_8);
        int status;
        try {
            Files.createDirectories(seedFolder);
            Path file = seedFolder.resolve("soak.toml");
            Files.writeString(file, Files.readString(scenario) + plan.toToml());
            status = new Lab(lines, lines, false).run(file, seed, List.of(), seedFolder, true);
            if (status == PASS) {
                delete(seedFolder);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return new Outcome(status, describe(seed, plan, status, text));
    }

    private String describe(long seed, SoakPlan plan, int status, ByteArrayOutputStream text) {
        String[] lines = text.toString(StandardCharsets.UTF_8).strip().split("\n", 0);
        String verdict = lines[lines.length - 1];
        StringBuilder report =
                new StringBuilder("seed " + seed + ": " + plan.summary() + ": " + verdict + "\n");
        if (status != PASS) {
            for (int i = 0; i < lines.length - 1; i++) {
                report.append("  ").append(lines[i]).append('\n');
            }
            report.append("  kept in ").append(folder.resolve("seed-" + seed)).append('\n');
            report.append("  again: java -jar target/cottonlock.jar lab soak --seeds ")
                    .append(seed)
                    .append(" --out ")
                    .append(folder)
                    .append('\n');
        }
        return report.toString();
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }
}
