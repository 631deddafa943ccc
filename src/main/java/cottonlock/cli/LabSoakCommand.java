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

/** Restarts real proxy processes in many orders, one run for each seed. */
@Command(
        name = "soak",
        mixinStandardHelpOptions = true,
        description = "Restarts proxies under load with series of signals, one run per seed.",
        footer = {
            "",
            "Prints a line for each seed. A seed that did not pass keeps its logs and is printed"
                    + " with the command that runs it again.",
            "Exit status: 0 all passed; 1 at least one failed; 2 an argument or the scenario is"
                + " invalid; 3 at least one has no verdict, since tasks ran late on this machine."
        })
final class LabSoakCommand implements Callable<Integer> {
    private static final Pattern SEEDS = Pattern.compile("([0-9]{1,9})(-([0-9]{1,9}))?");

    @Spec private CommandSpec spec;

    @Option(
            names = "--seeds",
            paramLabel = "N-M",
            defaultValue = "1-50",
            description = "The seeds to run: a number or a range (${DEFAULT-VALUE}).")
    private String seeds;

    @Option(
            names = "--scenario",
            paramLabel = "FILE",
            defaultValue = "scenarios/soak.toml",
            description = "The scenario to which restarts are added (${DEFAULT-VALUE}).")
    private Path scenario;

    @Option(
            names = "--out",
            paramLabel = "DIR",
            defaultValue = "target/soak",
            description = "Folder for seeds that did not pass (${DEFAULT-VALUE}).")
    private Path out;

    @Option(
            names = "--parallel",
            paramLabel = "N",
            defaultValue = "2",
            description = "Number of seeds run at a time (${DEFAULT-VALUE}).")
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
            return refuse("--seeds: expected an ascending range, found " + seeds);
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
