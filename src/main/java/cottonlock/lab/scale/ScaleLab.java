package cottonlock.lab.scale;

import cottonlock.config.InvalidConfigurationException;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;

/**
 * Entry points of scale runs for the command line and the tests; docs/lab.md lists the exit
 * statuses.
 */
public final class ScaleLab {
    private static final int UNUSABLE_STATUS = 2;

    /** Milliseconds that an interrupted run has to write its report. */
    private static final long REPORT_TIMEOUT_MILLIS = 5_000;

    private final PrintStream out;
    private final PrintStream err;

    /** Prints verdicts to {@code out}, progress and errors to {@code err}. */
    public ScaleLab(PrintStream out, PrintStream err) {
        this.out = out;
        this.err = err;
    }

    /** Checks a file without running it; throws if it is invalid. */
    public static void check(Path file) throws InvalidConfigurationException {
        ScaleFile.read(file, List.of(), null);
    }

    /** Returns whether a TOML file describes a scale run. */
    public static boolean isScaleFile(Path file) throws InvalidConfigurationException {
        return ScaleFile.isScaleFile(file);
    }

    /**
     * Runs a scale file and prints the verdict as the last line.
     *
     * @param seed null for the seed of the file
     * @param folder where the report is written; null for none
     */
    public int run(Path file, Long seed, List<String> sets, Path folder) {
        try {
            ScaleRun run = new ScaleRun(ScaleFile.read(file, sets, seed), err::println);
            StringBuilder command = new StringBuilder("lab scale ").append(file);
            command.append(seed == null ? "" : " --seed " + seed);
            sets.forEach(set -> command.append(" --set ").append(set));
            ScaleReport report = runInterruptibly(run, command.toString());
            if (folder != null) {
                report.write(folder);
            }
            report.brokenBounds().forEach(out::println);
            out.println(report.verdictLine());
            return switch (report.verdict()) {
                case PASS -> 0;
                case FAIL -> 1;
                default -> 3;
            };
        } catch (InvalidConfigurationException e) {
            e.faults().forEach(err::println);
        } catch (IOException | RuntimeException e) {
            err.println(file + ": " + e);
        }
        return UNUSABLE_STATUS;
    }

    private ScaleReport runInterruptibly(ScaleRun run, String command) throws IOException {
        Thread main = Thread.currentThread();
        boolean[] interrupted = new boolean[1];
        Thread hook =
                new Thread(
                        () -> {
                            interrupted[0] = true;
                            run.stop();
                            main.interrupt();
                            try {
                                main.join(REPORT_TIMEOUT_MILLIS);
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
        Runtime.getRuntime().addShutdownHook(hook);
        try {
            run.run();
        } catch (IOException | RuntimeException e) {
            if (!interrupted[0]) {
                throw e;
            }
        } catch (InterruptedException e) {
            // The run was interrupted: the report holds the results so far, without a verdict.
            interrupted[0] = true;
        } finally {
            try {
                Runtime.getRuntime().removeShutdownHook(hook);
            } catch (IllegalStateException e) {
                err.println("scale run interrupted");
            }
        }
        return new ScaleReport(run, interrupted[0], command);
    }
}
