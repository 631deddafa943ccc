package cottonlock.proxy;

import cottonlock.proxy.io.RateLimitedLog;
import cottonlock.proxy.io.Sockets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * The threads of work under way: one for each open connection, and one for each backend whose
 * messages are being run. A thread waits a little for further work: when clients connected a
 * hundred times a second, starting and ending a thread for each took most of the CPU time.
 *
 * <p>As an executor it serves callers that must not wait. Starting a thread blocks until that has
 * been scheduled for the first time, so a task for which no thread waits is left to the first
 * thread that becomes free, or that the starter, which runs this object, has started.
 */
final class WorkerThreads implements Executor, Runnable {
    /**
     * Milliseconds that a thread waits for work: longer than the gaps between many clients'
     * connections, and short enough not to hold memory for long.
     */
    private static final long KEEP_ALIVE_MILLIS = 3_000;

    /** The same while few connections are still to come. */
    private static final long SHORT_KEEP_ALIVE_MILLIS = 50;

    /** Milliseconds after which it is tried again to start a thread, when none was available. */
    private static final long START_RETRY_MILLIS = 10;

    private final RateLimitedLog log;

    /** Whether threads are kept for the usual time while there is memory for them. */
    private volatile boolean keepsIdleThreads = true;

    /** Hands work to a thread that waits for it. */
    private final BlockingQueue<Runnable> handOver = new SynchronousQueue<>();

    /** Tasks for which no thread was waiting. */
    private final BlockingQueue<Runnable> overflow = new LinkedBlockingQueue<>();

    private final ThreadPoolExecutor threads =
            new ThreadPoolExecutor(
                    0,
                    Integer.MAX_VALUE,
                    KEEP_ALIVE_MILLIS,
                    TimeUnit.MILLISECONDS,
                    handOver,
                    this::newThread);

    /**
     * The threads that have been created and have not ended: the pool forgets a thread before its
     * end.
     */
    private final Set<Thread> liveThreads = ConcurrentHashMap.newKeySet();

    WorkerThreads(RateLimitedLog log) {
        this.log = log;
    }

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

    /** Keeps threads only shortly for further work from now on: little is still to come. */
    void endIdleThreadsSoon() {
        keepsIdleThreads = false;
        threads.setKeepAliveTime(SHORT_KEEP_ALIVE_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Keeps threads only shortly for further work while another process needs their memory; without
     * effect after {@link #endIdleThreadsSoon}.
     */
    void setMemoryShared(boolean isShared) {
        if (keepsIdleThreads) {
            threads.setKeepAliveTime(
                    isShared ? SHORT_KEEP_ALIVE_MILLIS : KEEP_ALIVE_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /**
     * Runs a connection on a thread that waits for work or on a new one, whose start is waited for;
     * throws an OutOfMemoryError when no thread is available.
     */
    void serve(Runnable connection) {
        threads.execute(connection);
    }

    /** Runs a short task soon; never waits. Safe for use by any thread. */
    @Override
    public void execute(Runnable task) {
        if (!handOver.offer(() -> runWithOverflow(task))) {
            overflow.add(task);
        }
    }

    /** Runs a task, and then those that still wait for a thread. */
    private void runWithOverflow(Runnable task) {
        for (Runnable next = task; next != null; next = overflow.poll()) {
            next.run();
        }
    }

    /** The starter: starts a thread for each task that no other thread has taken by then. */
    @Override
    public void run() {
        try {
            while (true) {
                startThreadFor(overflow.take());
            }
        } catch (InterruptedException | RejectedExecutionException e) {
            // The proxy is closing.
        }
    }

    private void startThreadFor(Runnable task) throws InterruptedException {
        while (true) {
            try {
                threads.execute(() -> runWithOverflow(task));
                return;
            } catch (OutOfMemoryError e) {
                // The task must not be lost, nor the proxy end: a thread may soon be free.
                log.warn("no thread", "no thread is available; what waits for one is late");
                Thread.sleep(START_RETRY_MILLIS);
            }
        }
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
