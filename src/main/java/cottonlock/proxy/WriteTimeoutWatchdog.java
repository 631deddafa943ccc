package cottonlock.proxy;

import cottonlock.proxy.io.Sockets;
import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Closes sockets whose writes take too long: a peer that has gone silent never reads them. */
final class WriteTimeoutWatchdog implements Runnable {
    /** Milliseconds between checks: the timeout is far longer. */
    private static final long CHECK_MILLIS = 200;

    /**
     * Nanoseconds without progress: clients pause for two or three seconds, and one that never
     * reads again would hold its connection forever.
     */
    private static final long WRITE_TIMEOUT_NANOS = 5_000_000_000L;

    private final Map<Socket, Long> lastProgressNanos = new ConcurrentHashMap<>();

    /** A write to a socket's stream. */
    interface Write {
        void to(OutputStream out) throws IOException;
    }

    /** Runs a write that fails when none of it is accepted for too long. */
    void write(Socket socket, Write write) throws IOException {
        lastProgressNanos.put(socket, System.nanoTime());
        try {
            write.to(
                    new FilterOutputStream(socket.getOutputStream()) {
                        @Override
                        public void write(byte[] bytes, int from, int count) throws IOException {
                            out.write(bytes, from, count);
                            // A long body takes many writes, and each that succeeds is progress.
                            lastProgressNanos.put(socket, System.nanoTime());
                        }
                    });
        } finally {
            lastProgressNanos.remove(socket);
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
            lastProgressNanos.forEach(
                    (socket, since) -> {
                        if (now - since > WRITE_TIMEOUT_NANOS) {
                            Sockets.close(socket);
                        }
                    });
        } catch (OutOfMemoryError e) {
            // The next check may find memory; without any, no stalled write would ever end.
        }
    }
}
