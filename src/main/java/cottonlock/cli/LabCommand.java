package cottonlock.cli;

import cottonlock.lab.Lab;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Parent of the lab's commands. */
@Command(
        name = "lab",
        mixinStandardHelpOptions = true,
        synopsisSubcommandLabel = "COMMAND",
        subcommands = {
            LabCapacityCommand.class,
            LabCompareCommand.class,
            LabMembersCommand.class,
            LabRolloutCommand.class,
            LabRunCommand.class,
            LabScaleCommand.class,
            LabSoakCommand.class,
            LabSweepCommand.class
        },
        description = "Runs scenarios with real proxies on the loopback interface (docs/lab.md).")
final class LabCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine()
                .getErr()
                .println(
                        "cottonlock lab: expected run, compare, members, scale, soak or "
                                + "sweep; see --help");
        return Cli.EXIT_UNUSABLE_INPUT;
    }

    /** Returns a lab that writes to the standard output and error of this process. */
    static Lab lab() {
        @SuppressWarnings("SystemConsoleNull") // The program runs on Java 17.
        boolean interactive = System.console() != null;
        return new Lab(System.out, System.err, interactive);
    }
}
