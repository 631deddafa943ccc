package cottonlock.cli;

import java.io.PrintWriter;
import java.util.concurrent.Callable;
import picocli.AutoComplete;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Prints a completion script for the shell. */
@Command(
        name = "completion",
        mixinStandardHelpOptions = true,
        description = "Prints a script for bash and zsh that completes commands and options.",
        footer = {"", "source <(java -jar target/cottonlock.jar completion)"})
final class CompletionCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Override
    public Integer call() {
        PrintWriter out = spec.commandLine().getOut();
        out.print(AutoComplete.bash("cottonlock", spec.root().commandLine()));
        out.flush();
        return 0;
    }
}
