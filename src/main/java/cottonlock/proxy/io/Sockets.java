package cottonlock.proxy.io;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.regex.Pattern;

/** Helpers for sockets and for the threads that serve them. */
public final class Sockets {
    /** Stack size in bytes; pages that are not touched take no memory. */
    private static final long STACK_BYTES = 192 << 10;

    private static final Pattern NUMERIC_HOST = Pattern.compile("[0-9.]+|\\[[0-9a-fA-F:.]+\\]");

    private Sockets() {}

    /** Starts a daemon thread of that name. */
    public static Thread start(String name, Runnable task) {
        Thread thread = thread(name, task);
        thread.start();
        return thread;
    }

    /** A daemon thread of that name, not started. */
    public static Thread thread(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, STACK_BYTES);
        thread.setDaemon(true);
        return thread;
    }

    /** Closes quietly: a failure to close leaves nothing to be done. */
    public static void close(Closeable closeable) {
        try {
            closeable.close();
        } catch (IOException e) {
            // The descriptor is released all the same.
        }
    }

    /**
     * Parses an address of the form host:port, without a look-up of names.
     *
     * @throws IllegalArgumentException where the host is not numeric or the port is no port
     */
    public static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0 || !NUMERIC_HOST.matcher(text.substring(0, colon)).matches()) {
            throw new IllegalArgumentException("not an address: " + text);
        }
        int port = Integer.parseInt(text.substring(colon + 1));
        return new InetSocketAddress(text.substring(0, colon), port);
    }
}
