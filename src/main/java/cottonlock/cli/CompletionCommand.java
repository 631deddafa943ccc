package cottonlock.cli;

import java.io.PrintWriter;
import java.util.concurrent.Callable;
import picocli.AutoComplete;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Prints a shell completion script. */
@Command(
        name = "completion",
        mixinStandardHelpOptions = true,
        description = "Prints a completion script for bash and zsh.",
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
