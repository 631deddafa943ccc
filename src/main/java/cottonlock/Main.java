package cottonlock;

import cottonlock.bench.WireHost;
import cottonlock.cli.Cli;
import cottonlock.net.Proxy;
import cottonlock.setup.Malformed;
import cottonlock.setup.Operator;
import java.io.IOException;
import java.nio.file.Path;
import sun.misc.Signal;

/** Starts cottonlock; see README.md. */
public final class Main {

    private Main() {
    }

    /** Runs a command: the two that the platform starts directly, all others by the command line. */
    public static void main(String[] args) {
        String command = args.length == 1 ? args[0] : "";
        // The command line's library must cost the platform's starts nothing: it is not loaded on this way.
        if (command.equals("serve") && System.getenv("COTTONLOCK_OPERATOR") == null) {
            System.exit(serve(Operator.NONE));
        }
        System.exit(command.equals("wirehost") ? wireHost() : Cli.run(args, Main::serve, Main::wireHost));
    }

    private static int wireHost() {
        try {
            return new WireHost(System.in, System.out, System.err).run();
        } catch (IOException e) {
            System.err.println("cottonlock: " + e.getMessage());
            return 1;
        }
    }

    private static int serve(Operator operator) {
        try {
            String configuration = System.getenv("EDGE_CONFIG");
            if (configuration == null) {
                throw new Malformed("EDGE_CONFIG names no file");
            }
            System.setProperty("java.util.logging.SimpleFormatter.format", "%4$s %5$s%6$s%n");
            String folder = System.getenv("TMPDIR");
            Proxy proxy = new Proxy(Path.of(configuration), operator, System.getenv("EDGE_MGMT"),
                folder == null || folder.isEmpty() ? null : Path.of(folder));
            Runtime.getRuntime().addShutdownHook(new Thread(() -> {
                try {
                    proxy.drain();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }));
            // Left to Java, this signal would end the program.
            Signal.handle(new Signal("HUP"), signal -> proxy.reload());
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
