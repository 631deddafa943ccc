package cottonlock.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Serves the simulator's wire on standard input and output. */
@Command(
        name = "wirehost",
        mixinStandardHelpOptions = true,
        description = "Serves the bench's wire on standard input and output.",
        footer = {
            "",
            "Exit status: 0 the input has ended; 1 input that does not keep to the wire's form."
        })
final class WireHostCommand implements Callable<Integer> {
    @CommandLine.ParentCommand private Cli parent;

    @Override
    public Integer call() {
        return parent.serveWire();
    }
}
