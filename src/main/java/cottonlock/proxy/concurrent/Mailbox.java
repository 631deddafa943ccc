package cottonlock.proxy.concurrent;

import cottonlock.proxy.io.RateLimitedLog;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * An actor's mailbox: a bounded queue of messages that any thread may send and only the actor's
 * thread runs, one after the other. If a message throws, that is logged and does not end the actor.
 */
public final class Mailbox implements Runnable {
    private final BlockingQueue<Runnable> messages;
    private final RateLimitedLog log;

    /**
     * A mailbox that holds up to {@code capacity} messages; memory is not allocated for them in
     * advance.
     */
    public Mailbox(int capacity, RateLimitedLog log) {
        this.messages = new LinkedBlockingQueue<>(capacity);
        this.log = log;
    }

    /** Sends a message without waiting; false if the mailbox is full. */
    public boolean offer(Runnable message) {
        return messages.offer(message);
    }

    /** Sends a message, waiting while the mailbox is full. Dropped if interrupted. */
    public void put(Runnable message) {
        try {
            messages.put(message);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Runs the next message, if one arrives within the time. Called by the actor's thread. */
    public void runNext(long timeoutMicros) throws InterruptedException {
        Runnable message = messages.poll(Math.max(0, timeoutMicros), TimeUnit.MICROSECONDS);
        if (message != null) {
            guard(message);
        }
    }

    /** Runs a message and logs any exception or error that it throws. */
    public void guard(Runnable message) {
        FaultLog.guard(message, log);
    }

    /** The loop of an actor that only runs its messages; ends when interrupted. */
    @Override
    public void run() {
        try {
            while (true) {
                guard(messages.take());
            }
        } catch (InterruptedException e) {
            // The proxy is closing.
        }
    }
}
