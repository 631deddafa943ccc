package cottonlock.concurrent;

import java.util.concurrent.TimeUnit;

/**
 * Lets the {@code close} method of a task wait until the thread in its {@code run} method has
 * returned.
 *
 * <p>A socket that was closed keeps its address until the last thread that waits on it has returned
 * from the kernel, and what that thread had just accepted or received is still handled. Only when
 * it has returned is the address free and nothing more comes.
 *
 * <p>A task calls {@link #begin} first and {@link #end} last in {@code run}; its {@code close}
 * calls {@link #close}, closes the sockets, and then calls {@link #awaitEnd}. All methods may be
 * called by any thread.
 */
public final class RunCompletion {
    /** Far longer than a task needs to return from its sockets, also on a busy machine. */
    private static final long MAX_WAIT_MILLIS = 5_000;

    /** The thread in {@code run}; null if there is none. Guarded by this object. */
    private Thread runner;

    /** Guarded by this object. */
    private boolean closed;

    /**
     * Called when {@code run} begins.
     *
     * @return false if the task has been closed already: {@code run} returns at once, and does not
     *     call {@link #end}
     */
    public synchronized boolean begin() {
        if (closed) {
            return false;
        }
        runner = Thread.currentThread();
        return true;
    }

    /** Called when {@code run} ends, however it ends. */
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
     * Sleeps for so many milliseconds, or until {@link #close} is called.
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
     * Waits until no thread is in {@code run}, 5 s at most. Called by that thread itself, it
     * returns at once. An interrupt does not end the wait; it is kept for the caller.
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
