package cottonlock.cli;

import cottonlock.config.InvalidConfigurationException;
import cottonlock.config.OperatorFile;
import cottonlock.config.PlatformFile;
import cottonlock.lab.Lab;
import cottonlock.lab.scale.ScaleLab;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Checks configuration files and reports every fault. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description =
                "Checks the platform's configuration (.json), an operator's file or a scenario "
                        + "(.toml).",
        footer = {
            "",
            "All faults are reported: file, line, key, what was expected.",
            "Exit status: 0 all files are valid; 2 some are not."
        })
final class CheckCommand implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Parameters(arity = "1..*", paramLabel = "FILE", description = "The files to check.")
    private List<Path> files;

    @Override
    public Integer call() {
        int status = 0;
        for (Path file : files) {
            try {
                if (file.toString().endsWith(".json")) {
                    PlatformFile.check(file);
                } else if (ScaleLab.isScaleFile(file)) {
                    ScaleLab.check(file);
                } else if (Lab.isScenario(file)) {
                    Lab.check(file);
                } else {
                    OperatorFile.read(file);
                }
                spec.commandLine().getOut().println(file + ": can be used");
            } catch (InvalidConfigurationException e) {
                status = Cli.reportFaults(spec, e);
            }
        }
        return status;
    }
}
