package cottonlock.proxy.io;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;

/** Small helps with sockets and the threads that serve them. */
public final class Sockets {
    /** Enough for the deepest call here with room to spare; what is not touched takes no memory. */
    private static final long STACK = 192 << 10;

    private Sockets() {}

    public static Thread start(String name, Runnable task) {
        Thread thread = thread(name, task);
        thread.start();
        return thread;
    }

    public static Thread thread(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, STACK);
        thread.setDaemon(true);
        return thread;
    }

    public static void close(Closeable closeable) {
        try {
            closeable.close();
        } catch (IOException e) {
            // It is closed all the same.
        }
    }

    /** An address of the form host:port, the host in digits. */
    public static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0 || !text.substring(0, colon).matches("[0-9.]+|\\[[0-9a-fA-F:.]+\\]")) {
            throw new IllegalArgumentException("not an address: " + text);
        }
        return new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
