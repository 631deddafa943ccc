package cottonlock.cli;

import cottonlock.lab.scale.Capacity;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Makes docs/CAPACITY.md of recorded results, or records one of them. */
@Command(
        name = "capacity",
        mixinStandardHelpOptions = true,
        description = "Works out docs/CAPACITY.md from the results in a folder.",
        footer = {
            "",
            "Exit status: 0 done; 1 a measured run broke a rule; 2 a file can't be used; 3"
                    + " the machine ran late, so a measured run shows nothing."
        })
final class LabCapacityCommand implements Callable<Integer> {
    @Parameters(paramLabel = "DIR", description = "docs/capacity.")
    private Path folder;

    @Option(
            names = "--write",
            paramLabel = "PAGE",
            description = "Writes the page there; else it is printed.")
    private Path page;

    @Option(
            names = "--measure",
            paramLabel = "WHAT",
            description =
                    "Measures instead, into DIR/WHAT.json: proxy-ENTRIES-SEED, "
                            + "latency-TIERS-SEED.")
    private String measure;

    @Override
    public Integer call() throws InterruptedException {
        Capacity capacity = new Capacity(System.out, System.err);
        return measure == null ? capacity.page(folder, page) : capacity.measure(folder, measure);
    }
}
