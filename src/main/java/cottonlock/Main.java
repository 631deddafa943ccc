package cottonlock;

import cottonlock.bench.WireHost;
import java.io.IOException;

/** Starts cottonlock; see README.md. */
public final class Main {

    private Main() {
    }

    /** Runs the subcommand named by the only argument. */
    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("wirehost")) {
            System.err.println("usage: cottonlock wirehost");
            System.exit(2);
        }
        System.exit(new WireHost(System.in, System.out, System.err).run());
    }
}
