package cottonlock.cli;

import cottonlock.lab.soak.Soak;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Restarts real processes of the proxy in all orders, one play for each seed. */
@Command(
        name = "soak",
        mixinStandardHelpOptions = true,
        description = "Restarts proxies under load by series of signals, one play a seed.",
        footer = {
            "",
            "A line for each seed; one that did not pass keeps its logs and is told with the"
                    + " command that plays it again.",
            "Exit status: 0 all passed; 1 one failed; 2 an argument or the scenario can't be"
                    + " used; 3 the machine ran late in one."
        })
final class LabSoakCommand implements Callable<Integer> {
    private static final Pattern SEEDS = Pattern.compile("([0-9]{1,9})(-([0-9]{1,9}))?");

    @Spec private CommandSpec spec;

    @Option(
            names = "--seeds",
            paramLabel = "N-M",
            defaultValue = "1-50",
            description = "The seeds to play: a number or a range (${DEFAULT-VALUE}).")
    private String seeds;

    @Option(
            names = "--scenario",
            paramLabel = "FILE",
            defaultValue = "scenarios/soak.toml",
            description = "What the restarts are added to (${DEFAULT-VALUE}).")
    private Path scenario;

    @Option(
            names = "--out",
            paramLabel = "DIR",
            defaultValue = "target/soak",
            description = "Where seeds that did not pass are kept (${DEFAULT-VALUE}).")
    private Path out;

    @Option(
            names = "--parallel",
            paramLabel = "N",
            defaultValue = "2",
            description = "Seeds played at a time (${DEFAULT-VALUE}).")
    private int parallel;

    @Override
    public Integer call() throws InterruptedException {
        Matcher range = SEEDS.matcher(seeds);
        if (!range.matches()) {
            return refuse("--seeds: expected a number or a range such as 1-50, found " + seeds);
        }
        long first = Long.parseLong(range.group(1));
        long last = range.group(3) == null ? first : Long.parseLong(range.group(3));
        if (last < first) {
            return refuse("--seeds: expected a range that does not fall, found " + seeds);
        }
        if (parallel < 1) {
            return refuse("--parallel: expected 1 or more, found " + parallel);
        }
        return new Soak(scenario, out, System.out).play(first, last, parallel);
    }

    private int refuse(String fault) {
        spec.commandLine().getErr().println(fault);
        return Cli.EXIT_UNUSABLE_INPUT;
    }
}
