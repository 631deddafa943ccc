package cottonlock.concurrent;

import java.util.concurrent.TimeUnit;

/**
 * Lets the {@code close} method of a task wait until the thread in its {@code run} method has
 * returned.
 *
 * <p>A closed socket keeps its address until the last thread that waits on it has returned from the
 * kernel, and that thread still handles a connection or datagram that it has just received. Only
 * when it has returned is the address free and nothing more is received.
 *
 * <p>The {@code run} method of a task calls {@link #begin} first and {@link #end} last. Its {@code
 * close} method calls {@link #close}, closes the sockets, and then calls {@link #awaitEnd}. All
 * methods may be called by any thread.
 */
public final class RunCompletion {
    /** Much longer than a task needs to return from its sockets, even on a busy machine. */
    private static final long MAX_WAIT_MILLIS = 5_000;

    /** The thread in {@code run}; null if there is none. Guarded by this object. */
    private Thread runner;

    /** Whether {@link #close} has been called. Guarded by this object. */
    private boolean closed;

    /**
     * Called at the start of {@code run}.
     *
     * @return false if the task has been closed already: then {@code run} must return at once,
     *     without calling {@link #end}
     */
    public synchronized boolean begin() {
        if (closed) {
            return false;
        }
        runner = Thread.currentThread();
        return true;
    }

    /** Called at the end of {@code run}, whether it returns or throws. */
    public synchronized void end() {
        runner = null;
        notifyAll();
    }

    /** Marks the task as closed. */
    public synchronized void close() {
        closed = true;
        notifyAll();
    }

    /**
     * Sleeps for the given time, or until {@link #close} is called.
     *
     * @return whether the task has been closed
     * @throws InterruptedException if the thread is interrupted meanwhile
     */
    public synchronized boolean awaitClose(long millis) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        long leftNanos = deadlineNanos - System.nanoTime();
        while (!closed && leftNanos > 0) {
            TimeUnit.NANOSECONDS.timedWait(this, leftNanos);
            leftNanos = deadlineNanos - System.nanoTime();
        }
        return closed;
    }

    /**
     * Waits until no thread is in {@code run}, for 5 s at most. Returns at once if called by the
     * thread in {@code run}. An interrupt does not end the wait; the interrupt status is restored
     * after it.
     */
    public synchronized void awaitEnd() {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_WAIT_MILLIS);
        long leftNanos = deadlineNanos - System.nanoTime();
        boolean interrupted = false;
        while (runner != null && !Thread.currentThread().equals(runner) && leftNanos > 0) {
            try {
                TimeUnit.NANOSECONDS.timedWait(this, leftNanos);
            } catch (InterruptedException e) {
                interrupted = true;
            }
            leftNanos = deadlineNanos - System.nanoTime();
        }
        if (interrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
