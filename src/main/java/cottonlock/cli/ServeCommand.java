package cottonlock.cli;

import cottonlock.config.InvalidConfigurationException;
import cottonlock.config.OperatorFile;
import cottonlock.setup.OperatorConfig;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Serves requests with the platform's configuration and an optional operator's file. */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        description = "Serves requests until SIGTERM.",
        footer = {
            "",
            "EDGE_CONFIG names the platform's configuration (JSON).",
            "Exit status: 143 after SIGTERM; 2 an invalid configuration."
        })
final class ServeCommand implements Callable<Integer> {
    @CommandLine.ParentCommand private Cli parent;
    @Spec private CommandSpec spec;

    @Option(
            names = "--operator",
            paramLabel = "FILE",
            defaultValue = "${env:COTTONLOCK_OPERATOR}",
            description =
                    "The operator's file (TOML); by default the one that COTTONLOCK_OPERATOR names,"
                            + " if any.")
    private Path operator;

    @Override
    public Integer call() {
        OperatorConfig config = OperatorConfig.NONE;
        try {
            if (operator != null && !operator.toString().isEmpty()) {
                OperatorFile file = OperatorFile.read(operator);
                JsonLogFormatter.configureLogging(file.logFormat(), file.logLevel());
                config =
                        new OperatorConfig(
                                file.shadowSettings(), file.membership(), file.rollout());
            }
        } catch (InvalidConfigurationException e) {
            return Cli.reportFaults(spec, e);
        }
        return parent.serve(config);
    }
}
