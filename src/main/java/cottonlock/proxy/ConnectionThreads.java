package cottonlock.proxy;

import cottonlock.proxy.io.Sockets;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * The threads of connections, one for each while it lasts. They wait a little for the next one:
 * where a crowd connects a hundred times a second, starting and ending a thread each time took most
 * of the core.
 */
final class ConnectionThreads {
    /**
     * Milliseconds that a thread waits: longer than the gaps in a crowd, and no memory is held for
     * long.
     */
    private static final long STAY = 3_000;

    private final ThreadPoolExecutor threads =
            new ThreadPoolExecutor(
                    0,
                    Integer.MAX_VALUE,
                    STAY,
                    TimeUnit.MILLISECONDS,
                    new SynchronousQueue<>(),
                    task -> Sockets.thread("connection", task));

    /** Serves a connection; an OutOfMemoryError when no thread can be had. */
    void serve(Runnable connection) {
        threads.execute(connection);
    }

    /** The proxy closes: threads end with their connections, and those that wait at once. */
    void close() {
        threads.shutdown();
    }
}
