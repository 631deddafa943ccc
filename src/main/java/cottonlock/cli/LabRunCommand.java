package cottonlock.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Runs one scenario of the lab. */
@Command(
        name = "run",
        mixinStandardHelpOptions = true,
        description = "Runs one scenario.",
        footer = {
            "",
            "The last line on standard output is the verdict.",
            "Exit status: 0 pass; 1 a rule was broken or an expectation not met; 2 the scenario or"
                    + " an argument is invalid; 3 no verdict, since tasks ran late on this machine."
        })
final class LabRunCommand implements Callable<Integer> {
    @Parameters(paramLabel = "SCENARIO")
    private Path file;

    @Option(names = "--seed", description = "Replaces the scenario's seed.", paramLabel = "<arg1>")
    private Long seed;

    @Option(
            names = "--set",
            paramLabel = "PATH=VALUE",
            description =
                    "Sets a value of the scenario: --set proxy.count=4, --set"
                            + " fault.0.at=2. Can be repeated.")
    private List<String> overrides;

    @Option(
            names = "--out",
            paramLabel = "DIR",
            description = "Folder for report.json, report.html, schedule.tsv and ledger.txt.")
    private Path out;

    @Option(names = "--processes", description = "Runs each proxy in a separate process.")
    private boolean separateProcesses;

    @Override
    public Integer call() throws InterruptedException {
        return LabCommand.lab()
                .run(file, seed, overrides == null ? List.of() : overrides, out, separateProcesses);
    }
}
