package cottonlock.cli;

import cottonlock.lab.Lab;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Groups the commands of the lab. */
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
        description = "Plays scenarios with real proxies on loopback (docs/lab.md).")
final class LabCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine()
                .getErr()
                .println(
                        "cottonlock lab: expected run, compare, members, scale, soak or "
                                + "sweep; --help tells more");
        return Cli.EXIT_UNUSABLE_INPUT;
    }

    /** A lab that writes to the process's own output. */
    static Lab lab() {
        @SuppressWarnings("SystemConsoleNull") // The program runs on Java 17.
        boolean interactive = System.console() != null;
        return new Lab(System.out, System.err, interactive);
    }
}
