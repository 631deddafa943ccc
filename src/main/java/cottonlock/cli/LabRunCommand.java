package cottonlock.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Plays one scenario of the lab. */
@Command(
        name = "run",
        mixinStandardHelpOptions = true,
        description = "Plays one scenario.",
        footer = {
            "",
            "The last line on standard output is the verdict.",
            "Exit status: 0 pass; 1 a rule or an expectation broke; 2 the scenario or an"
                    + " argument can't be used; 3 the machine ran late, so there is no verdict."
        })
final class LabRunCommand implements Callable<Integer> {
    @Parameters(paramLabel = "SCENARIO")
    private Path file;

    @Option(names = "--seed", description = "In place of the scenario's.", paramLabel = "<arg1>")
    private Long seed;

    @Option(
            names = "--set",
            paramLabel = "PATH=VALUE",
            description =
                    "Sets a value of the scenario: --set proxy.count=4, --set"
                            + " fault.0.at=2. May be given again.")
    private List<String> overrides;

    @Option(
            names = "--out",
            paramLabel = "DIR",
            description = "Where report.json, report.html, " + "schedule.tsv and ledger.txt go.")
    private Path out;

    @Option(names = "--processes", description = "Each proxy in a process of its own.")
    private boolean separateProcesses;

    @Override
    public Integer call() throws InterruptedException {
        return LabCommand.lab().run(file, seed, overrides == null ? List.of() : overrides, out, separateProcesses);
    }
}
