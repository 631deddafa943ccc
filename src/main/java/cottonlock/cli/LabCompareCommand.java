package cottonlock.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Compares the reports of two runs. */
@Command(name = "compare", mixinStandardHelpOptions = true, description = "Compares two reports.")
final class LabCompareCommand implements Callable<Integer> {
    @Parameters(paramLabel = "A", description = "A report.json or its folder.")
    private Path first;

    @Parameters(paramLabel = "B")
    private Path second;

    @Override
    public Integer call() {
        return LabCommand.lab().compare(first, second);
    }
}
