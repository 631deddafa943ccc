package cottonlock.cli;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Runs a scenario for each of several values of a setting. */
@Command(
        name = "sweep",
        mixinStandardHelpOptions = true,
        description = "Runs a scenario for each of several values of one setting.")
final class LabSweepCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Parameters(paramLabel = "SCENARIO")
    private Path file;

    @Option(
            names = "--set",
            paramLabel = "PATH=V1,V2,...",
            required = true,
            description =
                    "The option with several values is swept; options with one value are set in"
                            + " all runs.")
    private List<String> overrides;

    @Option(
            names = "--seeds",
            split = ",",
            defaultValue = "1",
            description = "Seeds; default: 1.",
            paramLabel = "<arg2>")
    private List<Long> seeds;

    @Option(names = "--out", paramLabel = "DIR", description = "Folder for sweep.html.")
    private Path out;

    @Override
    public Integer call() throws InterruptedException {
        List<String> fixed = new ArrayList<>();
        String swept = null;
        for (String set : overrides) {
            if (swept == null && set.contains(",") && !set.contains("[")) {
                swept = set;
            } else {
                fixed.add(set);
            }
        }
        if (swept == null || swept.indexOf('=') <= 0) {
            spec.commandLine()
                    .getErr()
                    .println("cottonlock lab sweep: expected one --set PATH=V1,V2,...");
            return Cli.EXIT_UNUSABLE_INPUT;
        }
        int equals = swept.indexOf('=');
        return LabCommand.lab()
                .sweep(
                        file,
                        swept.substring(0, equals),
                        List.of(swept.substring(equals + 1).split(",")),
                        seeds,
                        fixed,
                        out);
    }
}
