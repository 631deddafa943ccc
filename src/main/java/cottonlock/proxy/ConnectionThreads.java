package cottonlock.proxy;

import cottonlock.proxy.io.Sockets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
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

    private final ThreadPoolExecutor threads =
            new ThreadPoolExecutor(
                    0,
                    Integer.MAX_VALUE,
                    KEEP_ALIVE_MILLIS,
                    TimeUnit.MILLISECONDS,
                    new SynchronousQueue<>(),
                    this::newThread);

    /** Those that have been made and have not ended: the pool forgets a thread before its end. */
    private final Set<Thread> liveThreads = ConcurrentHashMap.newKeySet();

    private Thread newThread(Runnable task) {
        Thread thread = Sockets.thread("connection", task);
        liveThreads.removeIf(older -> older.getState() == Thread.State.TERMINATED);
        liveThreads.add(thread);
        return thread;
    }

    /** Serves a connection; an OutOfMemoryError when no thread can be had. */
    void serve(Runnable connection) {
        threads.execute(connection);
    }

    /**
     * Ends all threads and waits for their end, 5 s at most; the sockets of their connections have
     * been closed before. An interrupt does not end the wait; it is kept for the caller.
     */
    void close() {
        threads.shutdownNow();
        Sockets.join(List.copyOf(liveThreads));
    }
}
