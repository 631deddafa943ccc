package cottonlock.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Serves the simulator's wire protocol on standard input and output. */
@Command(
        name = "wirehost",
        mixinStandardHelpOptions = true,
        description = "Serves the simulator's wire protocol on standard input and output.",
        footer = {"", "Exit status: 0 end of the input; 1 malformed input."})
final class WireHostCommand implements Callable<Integer> {
    @CommandLine.ParentCommand private Cli parent;

    @Override
    public Integer call() {
        return parent.serveWire();
    }
}
