package cottonlock.proxy;

import cottonlock.proxy.io.Sockets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * The threads of connections, one for each open connection. A thread waits a little for the next
 * connection: when clients connected a hundred times a second, starting and ending a thread for
 * each took most of the CPU time.
 */
final class ConnectionThreads {
    /**
     * Milliseconds that a thread waits for a connection: longer than the gaps between many clients'
     * connections, and short enough not to hold memory for long.
     */
    private static final long KEEP_ALIVE_MILLIS = 3_000;

    /** The same while few connections are still to come. */
    private static final long SHORT_KEEP_ALIVE_MILLIS = 50;

    private final ThreadPoolExecutor threads =
            new ThreadPoolExecutor(
                    0,
                    Integer.MAX_VALUE,
                    KEEP_ALIVE_MILLIS,
                    TimeUnit.MILLISECONDS,
                    new SynchronousQueue<>(),
                    this::newThread);

    /**
     * The threads that have been created and have not ended: the pool forgets a thread before its
     * end.
     */
    private final Set<Thread> liveThreads = ConcurrentHashMap.newKeySet();

    private Thread newThread(Runnable task) {
        Thread thread = Sockets.thread("connection", task);
        liveThreads.removeIf(older -> older.getState() == Thread.State.TERMINATED);
        liveThreads.add(thread);
        return thread;
    }

    /** The number of threads. */
    int count() {
        return threads.getPoolSize();
    }

    /** Keeps threads only shortly for the next connection from now on: few are still to come. */
    void endIdleThreadsSoon() {
        threads.setKeepAliveTime(SHORT_KEEP_ALIVE_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Runs a connection; throws an OutOfMemoryError when no thread is available. */
    void serve(Runnable connection) {
        threads.execute(connection);
    }

    /**
     * Ends all threads and waits for their end, for 5 s at most; the sockets of their connections
     * have been closed before. An interrupt does not end the wait; it is kept for the caller.
     */
    void close() {
        threads.shutdownNow();
        Sockets.join(List.copyOf(liveThreads));
    }
}
