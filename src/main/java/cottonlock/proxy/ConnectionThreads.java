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
    private static final long KEEP_ALIVE_MILLIS = 3_000;

    /** Far longer than a thread needs to return from a closed socket, also on a busy machine. */
    private static final long MAX_CLOSE_SECONDS = 5;

    private final ThreadPoolExecutor threads =
            new ThreadPoolExecutor(
                    0,
                    Integer.MAX_VALUE,
                    KEEP_ALIVE_MILLIS,
                    TimeUnit.MILLISECONDS,
                    new SynchronousQueue<>(),
                    task -> Sockets.thread("connection", task));

    /** Serves a connection; an OutOfMemoryError when no thread can be had. */
    void serve(Runnable connection) {
        threads.execute(connection);
    }

    /**
     * Ends all threads and waits for their end, 5 s at most; the sockets of their connections have
     * been closed before. An interrupt ends the wait; it is kept for the caller.
     */
    void close() {
        threads.shutdownNow();
        try {
            threads.awaitTermination(MAX_CLOSE_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
