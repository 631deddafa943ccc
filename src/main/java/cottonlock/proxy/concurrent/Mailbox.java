package cottonlock.proxy.concurrent;

import cottonlock.proxy.io.RateLimitedLog;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * An actor's mailbox: bounded, and read by the actor's thread alone, one message after the other.
 */
public final class Mailbox implements Runnable {
    private final BlockingQueue<Runnable> messages;
    private final RateLimitedLog log;

    public Mailbox(int most, RateLimitedLog log) {
        // An array of all its places would take 16 KB for each backend that a list names, used or
        // not.
        this.messages = new LinkedBlockingQueue<>(most);
        this.log = log;
    }

    /** For senders that must not wait: false when it is full. */
    public boolean offer(Runnable message) {
        return messages.offer(message);
    }

    /** For senders that may wait for their place. */
    public void put(Runnable message) {
        try {
            messages.put(message);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Carries out the next message, if one comes within so many microseconds. */
    public void next(long micros) throws InterruptedException {
        Runnable message = messages.poll(Math.max(0, micros), TimeUnit.MICROSECONDS);
        if (message != null) {
            guard(message);
        }
    }

    /** Carries out all that has come so far. */
    public void drain() {
        for (Runnable message = messages.poll(); message != null; message = messages.poll()) {
            guard(message);
        }
    }

    /**
     * Carries out a message; one that fails must not end the actor, and all that others wait for.
     */
    public void guard(Runnable message) {
        try {
            message.run();
        } catch (RuntimeException | Error e) {
            StackTraceElement[] trace = e.getStackTrace();
            log.warn("fault", e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }

    /** An actor that does nothing of itself between its messages. */
    @Override
    public void run() {
        try {
            while (true) {
                guard(messages.take());
            }
        } catch (InterruptedException e) {
            // The proxy closes.
        }
    }
}
