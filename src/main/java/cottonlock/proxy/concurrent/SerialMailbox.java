package cottonlock.proxy.concurrent;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The mailbox of an actor without a thread of its own: messages that any thread may send run one
 * after the other, on whatever thread the executor gives. An actor without messages holds no
 * thread, so there may be thousands of them. What a message has written is visible to the next one.
 */
public final class SerialMailbox {
    private final int capacity;
    private final Executor executor;
    private final Consumer consumer;
    private final Runnable runner = this::runPending;
    private final Queue<Runnable> messages = new ConcurrentLinkedQueue<>();

    /** The messages that have been sent and have not been run completely. */
    private final AtomicInteger pending = new AtomicInteger();

    /** Whether the executor has failed to take the messages that are pending. */
    private final AtomicBoolean executorFailed = new AtomicBoolean();

    /** Runs a message of the actor, and reports what it throws. */
    public interface Consumer {
        /** Runs a message. */
        void accept(Runnable message);
    }

    /**
     * An empty mailbox.
     *
     * @param capacity messages from which on {@link #offer} refuses further ones; threads that
     *     offer at the same moment may exceed it by one each
     * @param executor runs the messages; it is asked when one comes and none is pending
     * @param consumer runs each message
     */
    public SerialMailbox(int capacity, Executor executor, Consumer consumer) {
        this.capacity = capacity;
        this.executor = executor;
        this.consumer = consumer;
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
        }
    }

    private void execute() {
        boolean taken = false;
        try {
            executor.execute(runner);
            taken = true;
        } finally {
            // Without memory it may throw; the next message tries again then.
            executorFailed.set(!taken);
        }
    }

    private void runPending() {
        do {
            try {
                consumer.accept(messages.poll());
            } catch (RuntimeException | Error e) {
                // The consumer reports faults itself. Where even that fails for want of memory, the
                // messages behind must be run all the same.
            }
        } while (pending.decrementAndGet() > 0);
    }
}
