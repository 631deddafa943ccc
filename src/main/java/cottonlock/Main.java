package cottonlock;

import cottonlock.cli.Cli;
import cottonlock.proxy.Proxy;
import cottonlock.setup.OperatorConfig;
import cottonlock.simulator.WireHost;
import java.io.FileNotFoundException;
import java.io.IOException;
import java.nio.file.Path;

/** Entry point of the program; README.md lists its commands. */
public final class Main {
    private static final int EXIT_DONE = 0;
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_UNUSABLE_CONFIGURATION = 2;

    /**
     * The class is given by name: loading it here would initialise Java's logging with the default
     * manager, before the system property is set.
     */
    private static final String LOG_MANAGER_CLASS = "cottonlock.ServiceLogManager";

    private Main() {}

    /**
     * Runs one command and exits with its status.
     *
     * <p>The two commands that the platform uses, {@code serve} without an operator's file and
     * {@code wirehost}, bypass the command-line library, since loading it would slow down the
     * start.
     *
     * @param args the command and its options
     */
    public static void main(String[] args) {
        // Before any other class is loaded, since a signal ends the process until then.
        ProcessSignals signals =
                args.length > 0 && args[0].equals("serve") ? new ProcessSignals() : null;
        System.setProperty("java.util.logging.manager", LOG_MANAGER_CLASS);
        String command = args.length == 1 ? args[0] : "";
        if (command.equals("serve") && System.getenv("COTTONLOCK_OPERATOR") == null) {
            System.exit(serve(OperatorConfig.NONE, signals));
        }
        if (command.equals("wirehost")) {
            System.exit(wireHost());
        }
        System.exit(Cli.run(args, operator -> serve(operator, installed(signals)), Main::wireHost));
    }

    /**
     * Returns the given signal handlers, or installs them. They are missing if the command was in
     * an argument file, which only the command-line library reads.
     */
    private static ProcessSignals installed(ProcessSignals signals) {
        return signals == null ? new ProcessSignals() : signals;
    }

    private static int wireHost() {
        try {
            return new WireHost(System.in, System.out, System.err).run();
        } catch (IOException e) {
            System.err.println("cottonlock: " + e.getMessage());
            return EXIT_FAILED;
        }
    }

    private static int serve(OperatorConfig operator, ProcessSignals signals) {
        try {
            String configuration = System.getenv("EDGE_CONFIG");
            if (configuration == null) {
                throw new FileNotFoundException("EDGE_CONFIG names no file");
            }
            System.setProperty("java.util.logging.SimpleFormatter.format", "%4$s %5$s%6$s%n");
            start(Path.of(configuration), operator, signals).join();
            return EXIT_DONE;
        } catch (IOException | RuntimeException e) {
            System.err.println("cottonlock: " + e.getMessage());
            return EXIT_UNUSABLE_CONFIGURATION;
        } catch (InterruptedException e) {
            return EXIT_DONE;
        }
    }

    private static Proxy start(Path configuration, OperatorConfig operator, ProcessSignals signals)
            throws IOException, InterruptedException {
        String folder = System.getenv("TMPDIR");
        Proxy proxy = null;
        try {
            proxy =
                    new Proxy(
                            configuration,
                            operator,
                            System.getenv("EDGE_MGMT"),
                            folder == null || folder.isEmpty() ? null : Path.of(folder),
                            true);
        } finally {
            signals.startCompleted(proxy);
        }
        return proxy;
    }
}
