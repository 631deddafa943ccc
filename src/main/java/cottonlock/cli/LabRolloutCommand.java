package cottonlock.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Simulates the rollout of a configuration in virtual time. */
@Command(
        name = "rollout",
        mixinStandardHelpOptions = true,
        description = "Simulates the rollout of changed settings to a fleet in virtual time.",
        footer = {
            "",
            "The same seed gives the same results on any machine.",
            "Exit status: 0 success; 1 a change was not in force in time, or a proxy returned to"
                    + " a lower version; 2 an argument is invalid."
        })
final class LabRolloutCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Option(
            names = "--sizes",
            split = ",",
            defaultValue = "100,300,1000,3000",
            description = "Numbers of proxies; default: ${DEFAULT-VALUE}.",
            paramLabel = "<arg0>")
    private List<Integer> sizes;

    @Option(
            names = "--seeds",
            split = ",",
            defaultValue = "1,2,3",
            description = "Seeds; default: ${DEFAULT-VALUE}.",
            paramLabel = "<arg1>")
    private List<Long> seeds;

    @Option(
            names = "--commit",
            defaultValue = "",
            paramLabel = "NAME",
            description = "Commit to record in the files.")
    private String commit;

    @Option(
            names = "--out",
            paramLabel = "DIR",
            description = "Folder for the files rollout-SIZE-SEED.json.")
    private Path out;

    @Override
    public Integer call() {
        if (sizes.stream().anyMatch(n -> n < 7 || n > 10_000)) {
            spec.commandLine()
                    .getErr()
                    .println("cottonlock lab rollout: expected sizes of 7 to 10000");
            return Cli.EXIT_UNUSABLE_INPUT;
        }
        return LabCommand.lab().rollout(sizes, seeds, commit, out);
    }
}
