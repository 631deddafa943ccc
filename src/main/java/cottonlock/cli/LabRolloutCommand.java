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
        description = "Plays how a change of the settings comes into force, in virtual time.",
        footer = {
            "",
            "One seed gives the same figures on any machine.",
            "Exit status: 0 played; 1 a change was not in force in time, or a version went"
                    + " back; 2 an argument can't be used."
        })
final class LabRolloutCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Option(
            names = "--sizes",
            split = ",",
            defaultValue = "100,300,1000,3000",
            description = "Proxies; default ${DEFAULT-VALUE}.",
            paramLabel = "<arg0>")
    private List<Integer> sizes;

    @Option(
            names = "--seeds",
            split = ",",
            defaultValue = "1,2,3",
            description = "Default: ${DEFAULT-VALUE}.",
            paramLabel = "<arg1>")
    private List<Long> seeds;

    @Option(
            names = "--commit",
            defaultValue = "",
            paramLabel = "NAME",
            description = "Of what is played, for the files.")
    private String commit;

    @Option(names = "--out", paramLabel = "DIR", description = "Where rollout-SIZE-SEED.json go.")
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
