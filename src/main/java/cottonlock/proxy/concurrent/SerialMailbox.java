package cottonlock.proxy.concurrent;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/**
 * The mailbox of an actor without a thread of its own: messages that any thread may send run one
 * after the other, on whatever thread the executor gives. An actor without messages holds no
 * thread, so there may be thousands of them; one in which something falls due within milliseconds
 * keeps the thread until then. What a message has written is visible to the next one.
 */
public final class SerialMailbox {
    private static final Runnable NOTHING = () -> {};

    private final int capacity;
    private final Executor executor;
    private final Actor actor;
    private final Runnable runner = this::runPending;
    private final Queue<Runnable> messages = new ConcurrentLinkedQueue<>();

    /** The messages that have been sent and have not been run completely. */
    private final AtomicInteger pending = new AtomicInteger();

    /** The thread that waits for what falls due; null if none does. */
    private volatile Thread waitingThread;

    /** Whether the executor has failed to take the messages that are pending. */
    private final AtomicBoolean executorFailed = new AtomicBoolean();

    /** What the messages are for. Its methods are called one at a time. */
    public interface Actor {
        /**
         * Runs a message and whatever has fallen due, and reports what is thrown.
         *
         * @param message the message; it does nothing when a time is over
         */
        void process(Runnable message);

        /**
         * Nanoseconds for which a thread is to stay, because something falls due then; 0 or less to
         * let it go.
         */
        long nanosToStay();
    }

    /**
     * An empty mailbox.
     *
     * @param capacity messages from which on {@link #offer} refuses further ones; threads that
     *     offer at the same moment may exceed it by one each
     * @param executor runs the messages; it is asked when one comes and none is pending
     * @param actor whose messages these are
     */
    public SerialMailbox(int capacity, Executor executor, Actor actor) {
        this.capacity = capacity;
        this.executor = executor;
        this.actor = actor;
    }

    /** Sends a message without waiting; false if the mailbox is full. */
    public boolean offer(Runnable message) {
        if (pending.get() >= capacity) {
            return false;
        }
        put(message);
        return true;
    }

    /** Sends a message that must not be refused, however many are pending. */
    public void put(Runnable message) {
        messages.add(message);
        if (pending.getAndIncrement() == 0 || executorFailed.compareAndSet(true, false)) {
            execute();
        } else {
            LockSupport.unpark(waitingThread);
        }
    }

    private void execute() {
        boolean taken = false;
        try {
            executor.execute(runner);
            taken = true;
        } finally {
            if (!taken) {
                // For want of memory; the next message tries again.
                executorFailed.set(true);
            }
        }
    }

    private void runPending() {
        do {
            process(messages.poll());
            for (long nanos = nanosToStay(); nanos > 0; nanos = nanosToStay()) {
                awaitMessage(nanos);
                process(NOTHING);
            }
        } while (pending.decrementAndGet() > 0);
    }

    private void process(Runnable message) {
        try {
            actor.process(message);
        } catch (RuntimeException | Error e) {
            // The actor reports faults itself. Where even that fails for want of memory, the
            // messages behind must be run all the same.
        }
    }

    /** How long to wait for a message; 0 or less if one is there, or nothing falls due soon. */
    private long nanosToStay() {
        return isMessagePending() || Thread.currentThread().isInterrupted()
                ? 0
                : actor.nanosToStay();
    }

    /** Whether there is a message besides the one that the running thread counts for. */
    private boolean isMessagePending() {
        return pending.get() > 1;
    }

    private void awaitMessage(long nanos) {
        waitingThread = Thread.currentThread();
        if (!isMessagePending()) {
            LockSupport.parkNanos(nanos);
        }
        waitingThread = null;
    }
}
