package cottonlock.cli;

import cottonlock.config.InvalidConfigurationException;
import cottonlock.setup.OperatorConfig;
import java.util.concurrent.Callable;
import java.util.function.IntSupplier;
import java.util.function.ToIntFunction;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/**
 * The root command: parses the arguments, runs the given command and returns its exit status.
 *
 * <p>Exit statuses: 0 for success, {@link #EXIT_UNUSABLE_INPUT} for an invalid argument or file;
 * the help of each command lists its others.
 */
@Command(
        name = "cottonlock",
        mixinStandardHelpOptions = true,
        versionProvider = Cli.Version.class,
        description = "A load balancer for services that call services.",
        subcommands = {
            ServeCommand.class,
            WireHostCommand.class,
            CheckCommand.class,
            LabCommand.class,
            CompletionCommand.class
        },
        footer = {
            "",
            "Exit status: 0 success; 2 invalid arguments or files, reported in one line each."
        })
public final class Cli implements Callable<Integer> {
    /** Exit status for an invalid argument or file; picocli uses the same value. */
    static final int EXIT_UNUSABLE_INPUT = 2;

    @Spec private CommandSpec spec;
    private final ToIntFunction<OperatorConfig> serve;
    private final IntSupplier wireHost;

    private Cli(ToIntFunction<OperatorConfig> serve, IntSupplier wireHost) {
        this.serve = serve;
        this.wireHost = wireHost;
    }

    /**
     * Runs the command given by the arguments.
     *
     * @param serve serves requests with the operator's configuration and returns the exit status
     * @param wireHost serves the simulator's wire protocol and returns the exit status
     * @return the exit status of the process
     */
    public static int run(
            String[] args, ToIntFunction<OperatorConfig> serve, IntSupplier wireHost) {
        return new CommandLine(new Cli(serve, wireHost)).setUsageHelpAutoWidth(true).execute(args);
    }

    /** Reports that a command is missing. */
    @Override
    public Integer call() {
        spec.commandLine().getErr().println("cottonlock: expected a command; --help lists them");
        return EXIT_UNUSABLE_INPUT;
    }

    /** Serves requests until the process is stopped, and returns the exit status. */
    int serve(OperatorConfig config) {
        return serve.applyAsInt(config);
    }

    /** Serves the simulator's wire protocol until its input ends, and returns the exit status. */
    int serveWire() {
        return wireHost.getAsInt();
    }

    /** Prints each fault of a file on the command's error stream; returns the exit status. */
    static int reportFaults(CommandSpec spec, InvalidConfigurationException invalid) {
        invalid.faults().forEach(spec.commandLine().getErr()::println);
        return EXIT_UNUSABLE_INPUT;
    }

    /** Provides the version from the jar's manifest. */
    static final class Version implements CommandLine.IVersionProvider {
        @Override
        public String[] getVersion() {
            String version = Cli.class.getPackage().getImplementationVersion();
            return new String[] {"cottonlock " + (version == null ? "(from classes)" : version)};
        }
    }
}
