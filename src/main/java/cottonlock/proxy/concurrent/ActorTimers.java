package cottonlock.proxy.concurrent;

import cottonlock.proxy.io.Sockets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * The one thread that sends all actors the events of their {@link ActorTimer}; it is started with
 * the first of them. Safe for use by any thread.
 */
public final class ActorTimers {
    private final List<Thread> threads = new CopyOnWriteArrayList<>();

    /** Once it is shut down, it drops further events and reports none. */
    private final ScheduledThreadPoolExecutor executor =
            new ScheduledThreadPoolExecutor(
                    1, this::newThread, new ScheduledThreadPoolExecutor.DiscardPolicy());

    /** Timers without an event and without a thread. */
    public ActorTimers() {
        executor.setRemoveOnCancelPolicy(true);
    }

    private Thread newThread(Runnable task) {
        Thread thread = Sockets.thread("timers", task);
        threads.add(thread);
        return thread;
    }

    /** Runs an event after a time in nanoseconds; it must neither wait nor take long. */
    Future<?> schedule(Runnable event, long nanos) {
        return executor.schedule(event, nanos, TimeUnit.NANOSECONDS);
    }

    /** Ends the thread and waits for its end, for 5 s at most; events to come are dropped. */
    public void close() {
        executor.shutdownNow();
        Sockets.join(threads);
    }
}
