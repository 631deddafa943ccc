package cottonlock;

import cottonlock.cli.Cli;
import cottonlock.proxy.Proxy;
import cottonlock.setup.InvalidSettingsException;
import cottonlock.setup.OperatorConfig;
import cottonlock.simulator.WireHost;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** Starts cottonlock; see README.md. */
public final class Main {

    private Main() {}

    /**
     * Runs a command: the two that the platform starts directly, all others by the command line.
     */
    public static void main(String[] args) {
        String command = args.length == 1 ? args[0] : "";
        // The command line's library must cost the platform's starts nothing: it is not loaded on
        // this way.
        if (command.equals("serve") && System.getenv("COTTONLOCK_OPERATOR") == null) {
            System.exit(serve(OperatorConfig.NONE));
        }
        System.exit(
                command.equals("wirehost")
                        ? wireHost()
                        : Cli.run(args, Main::serve, Main::wireHost));
    }

    private static int wireHost() {
        try {
            return new WireHost(System.in, System.out, System.err).run();
        } catch (IOException e) {
            System.err.println("cottonlock: " + e.getMessage());
            return 1;
        }
    }

    /**
     * What signals lead to, from before the proxy serves: left to Java, SIGHUP would end the
     * program and SIGTERM all that has just been taken. What comes before it serves is carried out
     * as soon as it does.
     */
    private static final class Signals {
        /**
         * Seconds: whoever ends the program kills it after little more, and it has taken nothing
         * yet.
         */
        private static final long LONGEST_START = 3;

        private final CountDownLatch started = new CountDownLatch(1);
        private final boolean deaf;
        private Proxy proxy;

        Signals() {
            Runtime.getRuntime()
                    .addShutdownHook(
                            new Thread(
                                    () -> {
                                        long toldAt = System.nanoTime();
                                        with(p -> p.drain(toldAt));
                                    }));
            // Ignored from before the start, as under nohup, it is left so by Java, which tells it
            // here.
            deaf =
                    Signal.handle(new Signal("HUP"), signal -> with(Proxy::reload))
                            == SignalHandler.SIG_IGN;
        }

        /** Says once what nobody would notice before a new configuration is needed. */
        private void warn() {
            System.getLogger("cottonlock")
                    .log(
                            System.Logger.Level.WARNING,
                            "signals: SIGHUP was ignored before the start, as under nohup: a new"
                                    + " configuration will never be taken in");
        }

        /** The proxy serves, or could not be started: null. */
        void started(Proxy served) {
            proxy = served;
            started.countDown();
            if (deaf && served != null) {
                warn();
            }
        }

        private void with(Act act) {
            try {
                if (started.await(LONGEST_START, TimeUnit.SECONDS) && proxy != null) {
                    act.on(proxy);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private interface Act {
        void on(Proxy proxy) throws InterruptedException;
    }

    private static int serve(OperatorConfig operator) {
        try {
            String configuration = System.getenv("EDGE_CONFIG");
            if (configuration == null) {
                throw new InvalidSettingsException("EDGE_CONFIG names no file");
            }
            System.setProperty("java.util.logging.SimpleFormatter.format", "%4$s %5$s%6$s%n");
            String folder = System.getenv("TMPDIR");
            Signals signals = new Signals();
            Proxy proxy = null;
            try {
                proxy =
                        new Proxy(
                                Path.of(configuration),
                                operator,
                                System.getenv("EDGE_MGMT"),
                                folder == null || folder.isEmpty() ? null : Path.of(folder));
            } finally {
                signals.started(proxy);
            }
            proxy.join();
            return 0;
        } catch (IOException | RuntimeException e) {
            System.err.println("cottonlock: " + e.getMessage());
            return 2;
        } catch (InterruptedException e) {
            return 0;
        }
    }
}
