package cottonlock.lab.scale;

import cottonlock.config.InvalidConfigurationException;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Measures the capacity of parts of the program and generates docs/CAPACITY.md, for the command
 * line. Each operation returns an exit status.
 */
public final class Capacity {
    private static final int INVALID_INPUT_STATUS = 2;

    /** The exit status, as of other lab commands, if the machine ran too late for a verdict. */
    private static final int NO_VERDICT_STATUS = 3;

    private static final String MEASUREMENT_PATTERN = "(proxy|latency)-[0-9]{1,5}-[0-9]{1,9}";

    private final PrintStream out;
    private final PrintStream err;

    /** Generated output goes to {@code out}, faults and progress to {@code err}. */
    public Capacity(PrintStream out, PrintStream err) {
        this.out = out;
        this.err = err;
    }

    /**
     * Plays one measurement and writes its result into the folder. Its name, {@code
     * proxy-ENTRIES-SEED} or {@code latency-TIERS-SEED}, is also that of the result file.
     */
    public int measure(Path folder, String what) throws InterruptedException {
        if (!what.matches(MEASUREMENT_PATTERN)) {
            err.println(
                    "expected proxy-ENTRIES-SEED or latency-TIERS-SEED to measure, found " + what);
            return INVALID_INPUT_STATUS;
        }
        String[] parts = what.split("-", 0);
        int size = Integer.parseInt(parts[1]);
        long seed = Long.parseLong(parts[2]);
        boolean latency = parts[0].equals("latency");
        if (size < 1 || (latency && size > 3) || (!latency && size > 10_000)) {
            err.println("expected 1 to 3 tiers or 1 to 10000 entries, found " + what);
            return INVALID_INPUT_STATUS;
        }
        try {
            Files.createDirectories(folder);
            Path result = folder.resolve(what + ".json");
            String command = "cottonlock lab capacity docs/capacity --measure " + what;
            var quantities = Budget.read(folder.resolve("budget.toml")).quantities;
            double callsPerSecond =
                    quantities.get("operators.calls_s") / quantities.get("operators.backends");
            String verdict =
                    latency
                            ? new LatencyMeasure(size, seed, err).play(result, command, commit())
                            : new ProxyMeasure(size, seed, callsPerSecond)
                                    .play(result, command, commit());
            out.println("measured: " + verdict + " " + result);
            return verdict.equals("none") ? NO_VERDICT_STATUS : verdict.equals("fail") ? 1 : 0;
        } catch (InvalidConfigurationException e) {
            e.faults().forEach(err::println);
        } catch (IOException e) {
            err.println(what + ": " + e.getMessage());
        }
        return INVALID_INPUT_STATUS;
    }

    /** The short hash of the measured commit; "unknown" outside a git clone. */
    private static String commit() throws InterruptedException {
        try {
            Process git = new ProcessBuilder("git", "rev-parse", "--short", "HEAD").start();
            String id =
                    new String(git.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
            return git.waitFor() == 0 && !id.isEmpty() ? id : "unknown";
        } catch (IOException e) {
            return "unknown";
        }
    }

    /**
     * Generates the page from a folder with results, a template and a budget; prints it if {@code
     * page} is null.
     */
    public int page(Path folder, Path page) {
        try {
            String text = CapacityPage.generate(folder);
            if (page == null) {
                out.print(text);
            } else {
                Files.writeString(page, text);
            }
            return 0;
        } catch (InvalidConfigurationException e) {
            e.faults().forEach(err::println);
        } catch (IOException e) {
            err.println(e.getMessage());
        }
        return INVALID_INPUT_STATUS;
    }
}
