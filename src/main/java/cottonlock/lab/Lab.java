package cottonlock.lab;

import cottonlock.config.ConfigurationDocument;
import cottonlock.config.InvalidConfigurationException;
import cottonlock.config.MembershipTable;
import cottonlock.lab.world.Topology;
import cottonlock.setup.MembershipProtocolConfig;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.TreeMap;

/**
 * Entry points of the lab for the command line and the tests. Methods that return an int return an
 * exit status as described in docs/lab.md.
 */
public final class Lab {
    /** Exit status for an invalid scenario or argument, or an I/O error. */
    private static final int EXIT_UNUSABLE = 2;

    /** Milliseconds that the shutdown hook waits for an interrupted run to write its report. */
    private static final long REPORT_TIMEOUT_MILLIS = 5_000;

    private final PrintStream out;
    private final PrintStream err;
    private final boolean progress;

    /** Kept in a field because a logger without a strong reference loses its level. */
    private final java.util.logging.Logger proxyLogger =
            java.util.logging.Logger.getLogger("cottonlock");

    /**
     * Creates a lab that prints to the given streams.
     *
     * @param progress whether to show progress, for which the error stream must be a terminal
     */
    public Lab(PrintStream out, PrintStream err, boolean progress) {
        this.out = out;
        this.err = err;
        this.progress = progress;
        // Proxies in this process would fill the error stream with warnings about the faults that
        // the scenario causes.
        proxyLogger.setLevel(java.util.logging.Level.OFF);
    }

    /**
     * Simulates how changes of the settings are rolled out, and writes a file for each size and
     * seed.
     */
    public int rollout(List<Integer> sizes, List<Long> seeds, String commit, Path folder) {
        try {
            return new RolloutReport(out, commit, folder).play(sizes, seeds) ? 0 : 1;
        } catch (IOException e) {
            err.println(folder + ": " + e.getMessage());
            return EXIT_UNUSABLE;
        }
    }

    /**
     * Plays one scenario, and prints the verdict as the last line.
     *
     * @param seed null for the scenario's own
     * @param folder where reports are written; null for none
     */
    public int run(Path file, Long seed, List<String> sets, Path folder, boolean processes)
            throws InterruptedException {
        try {
            Verdict verdict = play(file, seed, sets, folder, processes);
            verdict.broken.forEach(out::println);
            out.println(verdict.line());
            return verdict.kind.status;
        } catch (InvalidConfigurationException e) {
            e.faults().forEach(err::println);
        } catch (IOException | RuntimeException e) {
            err.println(file + ": " + e.getMessage());
        }
        return EXIT_UNUSABLE;
    }

    private Verdict play(Path file, Long seed, List<String> sets, Path folder, boolean processes)
            throws IOException, InvalidConfigurationException, InterruptedException {
        List<String> all = new ArrayList<>(sets);
        if (processes) {
            all.add("proxy.processes=true");
        }
        Experiment run = new Experiment(Scenario.read(file, all, seed));
        Thread main = Thread.currentThread();
        Thread hook =
                new Thread(
                        () -> {
                            run.interrupt();
                            try {
                                main.join(REPORT_TIMEOUT_MILLIS);
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        });
        if (progress) {
            run.onSecond(second -> showProgress(run, second));
        }
        Runtime.getRuntime().addShutdownHook(hook);
        Verdict verdict;
        try {
            run.play();
            if (progress) {
                err.print("\r\u001b[K");
            }
            verdict = run.verdict();
            if (folder != null) {
                Report.write(folder, run, verdict);
            }
            run.ledger().lines().forEach(err::println);
            if (run.judge() != null) {
                run.judge().lines().forEach(err::println);
            }
        } finally {
            try {
                Runtime.getRuntime().removeShutdownHook(hook);
            } catch (IllegalStateException e) {
                // The JVM is shutting down, and the hook waits for this thread.
                if (run.interrupted()) {
                    err.println("the run was interrupted before its end");
                }
            }
        }
        return verdict;
    }

    private void showProgress(Experiment run, long second) {
        int last = (int) second - 1;
        Series series = run.series();
        err.print(
                String.format(
                        Locale.ROOT,
                        "\r\u001b[K%3d/%d s  due %d  finished %d  deferred %d  written off %d  "
                                + "service %.3f",
                        second,
                        run.scenario().length / 1_000_000_000L,
                        series.line(Series.Count.DUE).at(last),
                        series.line(Series.Count.FINISHED).at(last),
                        series.line(Series.Count.DEFERRED).at(last),
                        series.line(Series.Count.WRITTEN_OFF).at(last),
                        series.service(last)));
        err.flush();
    }

    /** Checks a scenario without playing it; throws an exception that lists its faults. */
    public static void check(Path file) throws InvalidConfigurationException {
        Scenario.read(file, List.of(), null);
    }

    /** Returns whether a TOML file has keys that only scenarios have. */
    public static boolean isScenario(Path file) throws InvalidConfigurationException {
        return ConfigurationDocument.toml(file).has("tier")
                || ConfigurationDocument.toml(file).has("category");
    }

    /** Prints the figures of two reports side by side, with their differences. */
    public int compare(Path one, Path other) {
        try {
            Report.Summary a = Report.read(one);
            Report.Summary b = Report.read(other);
            out.printf(Locale.ROOT, "%-16s %14s %14s %14s%n", "", "A", "B", "B - A");
            row("scenario", a.scenario(), b.scenario());
            row("policy", a.policy(), b.policy());
            row("seed", Long.toString(a.seed()), Long.toString(b.seed()));
            row("verdict", a.verdict(), b.verdict());
            TreeMap<String, Double> rest = new TreeMap<>(a.figures());
            rest.putAll(b.figures());
            List<String> keys = new ArrayList<>(Verdict.KEYS);
            Verdict.MEMBERSHIP_KEYS.stream().filter(rest::containsKey).forEach(keys::add);
            rest.keySet().stream().filter(k -> !keys.contains(k)).forEach(keys::add);
            for (String key : keys) {
                Double left = a.figures().get(key);
                Double right = b.figures().get(key);
                out.printf(
                        Locale.ROOT,
                        "%-16s %14s %14s %14s%n",
                        key,
                        shown(left),
                        shown(right),
                        left == null || right == null
                                ? ""
                                : String.format(Locale.ROOT, "%+.3f", right - left));
            }
            return 0;
        } catch (IOException e) {
            err.println(e.getMessage());
            return EXIT_UNUSABLE;
        }
    }

    private void row(String name, String left, String right) {
        out.printf(
                Locale.ROOT,
                "%-16s %14s %14s %14s%n",
                name,
                left,
                right,
                left.equals(right) ? "" : "differs");
    }

    private static String shown(Double value) {
        if (value == null) {
            return "-";
        }
        return value == Math.rint(value)
                ? Long.toString(value.longValue())
                : String.format(Locale.ROOT, "%.3f", value);
    }

    /**
     * Plays a scenario once for each value of one setting and each seed, and prints a line for each
     * value. If a folder is given, the charts are written there as sweep.html, and the reports to
     * subfolders.
     */
    public int sweep(
            Path file,
            String path,
            List<String> values,
            List<Long> seeds,
            List<String> sets,
            Path folder)
            throws InterruptedException {
        List<String> figures = List.of("service", "worst_s", "p99_ms", "deferred", "written_off");
        double[][] means = new double[figures.size()][values.size()];
        int status = 0;
        try {
            Files.createDirectories(folder == null ? Path.of(".") : folder);
            out.printf(
                    Locale.ROOT,
                    "%-16s %8s %8s %8s %9s %12s  %s%n",
                    path,
                    "service",
                    "worst_s",
                    "p99_ms",
                    "deferred",
                    "written_off",
                    "verdicts");
            for (int v = 0; v < values.size(); v++) {
                List<String> all = new ArrayList<>(sets);
                all.add(path + "=" + values.get(v));
                StringBuilder verdicts = new StringBuilder();
                for (Long seed : seeds) {
                    Path reportFolder =
                            folder == null
                                    ? null
                                    : folder.resolve(
                                            values.get(v).replaceAll("[^A-Za-z0-9.-]", "_")
                                                    + "-"
                                                    + seed);
                    Verdict verdict = play(file, seed, all, reportFolder, false);
                    verdicts.append(' ').append(verdict.word());
                    status = Math.max(status, verdict.kind == Verdict.Kind.NONE ? 3 : 0);
                    for (int f = 0; f < figures.size(); f++) {
                        means[f][v] += verdict.figures.get(figures.get(f)) / seeds.size();
                    }
                }
                out.printf(
                        Locale.ROOT,
                        "%-16s %8.3f %8.3f %8.1f %9.0f %12.0f %s%n",
                        values.get(v),
                        means[0][v],
                        means[1][v],
                        means[2][v],
                        means[3][v],
                        means[4][v],
                        verdicts);
            }
            if (folder != null) {
                Files.writeString(
                        folder.resolve("sweep.html"),
                        sweepPage(file, path, values, figures, means));
            }
            return status;
        } catch (InvalidConfigurationException e) {
            e.faults().forEach(err::println);
        } catch (IOException | RuntimeException e) {
            err.println(file + ": " + e.getMessage());
        }
        return EXIT_UNUSABLE;
    }

    /** Simulates membership in virtual time; {@link MembersStudy} describes the output. */
    public int members(
            List<Integer> sizes,
            List<Double> losses,
            long seed,
            int deaths,
            int quiet,
            Path operator,
            Path folder) {
        try {
            MembershipProtocolConfig rules =
                    operator == null
                            ? MembershipProtocolConfig.DEFAULTS
                            : MembershipTable.readProtocol(operator);
            MembersStudy study = new MembersStudy(sizes, losses, rules);
            study.play(seed, deaths, quiet, out);
            if (folder != null) {
                Files.createDirectories(folder);
                Files.writeString(folder.resolve("members.html"), study.page());
            }
            return 0;
        } catch (InvalidConfigurationException e) {
            e.faults().forEach(err::println);
        } catch (IOException e) {
            err.println(e.getMessage());
        }
        return EXIT_UNUSABLE;
    }

    /**
     * Simulates membership across regions and zones in virtual time, for each size with each seed.
     */
    public int membersOver(
            int regions,
            int zones,
            List<Integer> sizes,
            List<Long> seeds,
            int quiet,
            int apart,
            int known,
            Path operator,
            Path folder) {
        try {
            MembershipProtocolConfig rules =
                    operator == null
                            ? MembershipProtocolConfig.DEFAULTS
                            : MembershipTable.readProtocol(operator);
            MembersRegions study =
                    new MembersRegions(
                            new Topology(regions, zones), quiet, apart, known, rules, out);
            for (int size : sizes) {
                for (long seed : seeds) {
                    study.play(size, seed, folder);
                }
            }
            return 0;
        } catch (InvalidConfigurationException e) {
            e.faults().forEach(err::println);
        } catch (IOException | UncheckedIOException e) {
            err.println(e.getMessage());
        }
        return EXIT_UNUSABLE;
    }

    private static String sweepPage(
            Path file, String path, List<String> values, List<String> figures, double[][] means) {
        double[] xs = new double[values.size()];
        boolean numeric = values.stream().allMatch(v -> v.matches("-?[0-9]+(\\.[0-9]+)?"));
        for (int i = 0; i < xs.length; i++) {
            xs[i] = numeric ? Double.parseDouble(values.get(i)) : i;
        }
        StringBuilder page =
                new StringBuilder(Page.HEAD)
                        .append("<title>sweep</title>")
                        .append(Page.STYLE)
                        .append("</head><body><h1>")
                        .append(Chart.text(file.getFileName() + ": " + path))
                        .append("</h1>\n");
        if (!numeric) {
            page.append("<p>Values along the axis: ")
                    .append(Chart.text(String.join(", ", values)))
                    .append("</p>\n");
        }
        for (int f = 0; f < figures.size(); f++) {
            page.append(
                    new Chart(figures.get(f), "mean over the seeds", xs, "", List.of())
                            .line(figures.get(f), means[f])
                            .svg());
        }
        return page.append("</body></html>\n").toString();
    }
}
