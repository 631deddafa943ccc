package cottonlock.proxy;

import cottonlock.proxy.io.Sockets;
import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Closes sockets whose writes take too long: a machine that has gone silent never takes them. */
final class WriteTimeoutWatchdog implements Runnable {
    /** How often it looks, in milliseconds: the limits are far longer. */
    private static final long CHECK_MILLIS = 200;

    /**
     * Nanoseconds without a byte taken: readers pause for two or three seconds; one that never
     * reads on would hold its connection for good.
     */
    private static final long WRITE_TIMEOUT_NANOS = 5_000_000_000L;

    private final Map<Socket, Long> lastProgressNanos = new ConcurrentHashMap<>();

    /** What is to be written. */
    interface Write {
        void to(OutputStream out) throws IOException;
    }

    /** Carries out a write that fails when none of it is taken for too long. */
    void write(Socket socket, Write write) throws IOException {
        lastProgressNanos.put(socket, System.nanoTime());
        try {
            write.to(
                    new FilterOutputStream(socket.getOutputStream()) {
                        @Override
                        public void write(byte[] bytes, int from, int count) throws IOException {
                            out.write(bytes, from, count);
                            // A long body is many writes, and each piece taken is a sign of life.
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
                long now = System.nanoTime();
                lastProgressNanos.forEach(
                        (socket, since) -> {
                            if (now - since > WRITE_TIMEOUT_NANOS) {
                                Sockets.close(socket);
                            }
                        });
            }
        } catch (InterruptedException e) {
            // The proxy closes.
        }
    }
}
