package cottonlock.proxy;

import cottonlock.proxy.io.Sockets;
import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** Closes sockets whose writes take too long: a peer that has gone silent never reads them. */
final class WriteTimeoutWatchdog implements Runnable {
    /** Longer than any process runs, and far from where times by the monotonic clock overflow. */
    private static final long NO_LIMIT_NANOS = Long.MAX_VALUE / 4;

    /** Milliseconds between checks: the timeout is far longer. */
    private static final long CHECK_MILLIS = 200;

    /**
     * Nanoseconds without progress: clients pause for two or three seconds, and one that never
     * reads again would hold its connection forever.
     */
    private static final long WRITE_TIMEOUT_NANOS = 5_000_000_000L;

    /** A write under way; times by the monotonic clock. */
    private static final class OngoingWrite {
        private final long latestEndNanos;
        private volatile long lastProgressNanos = System.nanoTime();

        OngoingWrite(long maxMillis) {
            long maxNanos = TimeUnit.MILLISECONDS.toNanos(maxMillis);
            this.latestEndNanos = System.nanoTime() + Math.min(maxNanos, NO_LIMIT_NANOS);
        }

        boolean isOverdue(long nowNanos) {
            return nowNanos - lastProgressNanos > WRITE_TIMEOUT_NANOS
                    || nowNanos - latestEndNanos > 0;
        }
    }

    private final Map<Socket, OngoingWrite> ongoing = new ConcurrentHashMap<>();

    /** A write to a socket's stream. */
    interface Write {
        void to(OutputStream out) throws IOException;
    }

    /** Runs a write that fails when none of it is accepted for too long. */
    void write(Socket socket, Write write) throws IOException {
        write(socket, Long.MAX_VALUE, write);
    }

    /**
     * Runs a write that fails when none of it is accepted for too long, and soon after a time in
     * which it has not ended.
     *
     * @param maxMillis that time; any number
     */
    void write(Socket socket, long maxMillis, Write write) throws IOException {
        OngoingWrite state = new OngoingWrite(maxMillis);
        ongoing.put(socket, state);
        try {
            write.to(
                    new FilterOutputStream(socket.getOutputStream()) {
                        @Override
                        public void write(byte[] bytes, int from, int count) throws IOException {
                            out.write(bytes, from, count);
                            // A long body takes many writes, and each that succeeds is progress.
                            state.lastProgressNanos = System.nanoTime();
                        }
                    });
        } finally {
            ongoing.remove(socket);
        }
    }

    @Override
    public void run() {
        try {
            while (true) {
                Thread.sleep(CHECK_MILLIS);
                closeStalled();
            }
        } catch (InterruptedException e) {
            // The proxy closes.
        }
    }

    private void closeStalled() {
        try {
            long now = System.nanoTime();
            ongoing.forEach(
                    (socket, state) -> {
                        if (state.isOverdue(now)) {
                            Sockets.close(socket);
                        }
                    });
        } catch (OutOfMemoryError e) {
            // The next check may find memory; without any, no stalled write would ever end.
        }
    }
}
