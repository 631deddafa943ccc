package cottonlock.lab;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.HdrHistogram.Histogram;

/**
 * The event loop that runs all stand-ins of a run on one thread. Each pass handles ready sockets,
 * tasks posted by other threads, and tasks that are due; due tasks also run after every {@link
 * #SOCKETS_PER_TURN} sockets. It measures how late sockets and tasks are handled, because a run on
 * a machine that can't keep up must give no verdict. Times are nanoseconds since the loop was
 * created.
 */
public final class EventLoop {
    /** The largest lateness recorded, in microseconds; a larger one is recorded as this. */
    private static final long MAX_LATENESS_MICROS = 60_000_000;

    /**
     * The number of sockets handled before due tasks get a turn: with more, arrivals waited behind
     * bursts.
     */
    private static final int SOCKETS_PER_TURN = 64;

    /** A scheduled task; a cancelled one stays in the heap until its time. */
    public static final class Timer implements Comparable<Timer> {
        private final long dueAt;
        private final long order;
        private Runnable task;

        Timer(long dueAt, long order, Runnable task) {
            this.dueAt = dueAt;
            this.order = order;
            this.task = task;
        }

        public void cancel() {
            task = null;
        }

        @Override
        public int compareTo(Timer other) {
            return dueAt != other.dueAt
                    ? Long.compare(dueAt, other.dueAt)
                    : Long.compare(order, other.order);
        }
    }

    /** Handles a socket that is ready. */
    public interface ReadyHandler {
        void onReady(SelectionKey key) throws IOException;
    }

    private final Selector selector;
    private final long startNanos = System.nanoTime();
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private final Queue<Runnable> postedTasks = new ConcurrentLinkedQueue<>();
    private final Histogram lateness = new Histogram(MAX_LATENESS_MICROS, 3);
    private long nextOrder;
    private volatile boolean stopped;

    public EventLoop() {
        try {
            selector = Selector.open();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot open a selector", e);
        }
    }

    public long now() {
        return System.nanoTime() - startNanos;
    }

    /** Schedules a task; one whose time has passed runs next. */
    public Timer at(long time, Runnable task) {
        Timer timer = new Timer(time, nextOrder++, task);
        timers.add(timer);
        return timer;
    }

    public Timer after(long nanos, Runnable task) {
        return at(now() + nanos, task);
    }

    /** Runs a task on the loop; callable from any thread. */
    public void post(Runnable task) {
        postedTasks.add(task);
        selector.wakeup();
    }

    public SelectionKey register(SelectableChannel channel, int ops, ReadyHandler handler)
            throws IOException {
        channel.configureBlocking(false);
        return channel.register(selector, ops, handler);
    }

    /**
     * Deregisters closed channels from the selector: until then their addresses can't be bound
     * again.
     */
    void deregisterClosed() throws IOException {
        selector.selectNow();
    }

    /** Makes {@link #run} return soon; callable from any thread. */
    public void stop() {
        stopped = true;
        selector.wakeup();
    }

    boolean stopped() {
        return stopped;
    }

    /** Runs until it is stopped; the owners of the sockets close them afterwards. */
    public void run() throws IOException {
        while (!stopped) {
            Timer next = timers.peek();
            long wait = next == null ? 1_000_000_000L : next.dueAt - now();
            if (wait <= 0 || !postedTasks.isEmpty()) {
                selector.selectNow();
            } else {
                // A selector waits whole milliseconds; short parks in select() cover the rest.
                select(wait);
            }
            long selected = now();
            List<SelectionKey> ready = List.copyOf(selector.selectedKeys());
            selector.selectedKeys().clear();
            int served = 0;
            for (SelectionKey key : ready) {
                // Ready sockets count as well: a loop that only ran its tasks on time looked
                // healthy while sockets waited.
                lateness.recordValue(Math.min(MAX_LATENESS_MICROS, (now() - selected) / 1_000));
                handleReady(key);
                if (++served % SOCKETS_PER_TURN == 0) {
                    runDue();
                }
            }
            for (Runnable task = postedTasks.poll(); task != null; task = postedTasks.poll()) {
                task.run();
            }
            runDue();
        }
    }

    private void runDue() {
        long now = now();
        for (Timer next = timers.peek();
                next != null && next.dueAt <= now && !stopped;
                next = timers.peek()) {
            timers.poll();
            if (next.task != null) {
                lateness.recordValue(Math.min(MAX_LATENESS_MICROS, (now - next.dueAt) / 1_000));
                next.task.run();
            }
        }
    }

    private void select(long wait) throws IOException {
        if (wait >= 2_000_000) {
            selector.select(wait / 1_000_000 - 1);
        } else if (selector.selectNow() == 0 && wait > 100_000) {
            java.util.concurrent.locks.LockSupport.parkNanos(Math.min(wait - 60_000, 200_000));
        }
    }

    private static void handleReady(SelectionKey key) {
        if (key.isValid()) {
            try {
                ((ReadyHandler) key.attachment()).onReady(key);
            } catch (IOException e) {
                // The owner of a socket handles its errors; this socket is no longer usable.
                key.cancel();
            }
        }
    }

    /** The lateness of tasks and ready sockets, in microseconds. */
    public Histogram lateness() {
        return lateness;
    }

    public void close() {
        try {
            selector.close();
        } catch (IOException e) {
            // The selector is closed anyway.
        }
    }
}
