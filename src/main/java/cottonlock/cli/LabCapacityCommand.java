package cottonlock.cli;

import cottonlock.lab.scale.Capacity;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Generates docs/CAPACITY.md from recorded results, or measures and records one result. */
@Command(
        name = "capacity",
        mixinStandardHelpOptions = true,
        description = "Generates docs/CAPACITY.md from the results in a folder.",
        footer = {
            "",
            "Exit status: 0 success; 1 a measured run broke a rule; 2 a file is invalid; 3 tasks"
                    + " ran late on this machine, so a measured run has no result."
        })
final class LabCapacityCommand implements Callable<Integer> {
    @Parameters(paramLabel = "DIR", description = "The folder with the results: docs/capacity.")
    private Path folder;

    @Option(
            names = "--write",
            paramLabel = "PAGE",
            description = "File for the page; by default it is printed.")
    private Path page;

    @Option(
            names = "--measure",
            paramLabel = "WHAT",
            description =
                    "Measures one result into DIR/WHAT.json instead: proxy-ENTRIES-SEED or "
                            + "latency-TIERS-SEED.")
    private String measure;

    @Override
    public Integer call() throws InterruptedException {
        Capacity capacity = new Capacity(System.out, System.err);
        return measure == null ? capacity.page(folder, page) : capacity.measure(folder, measure);
    }
}
