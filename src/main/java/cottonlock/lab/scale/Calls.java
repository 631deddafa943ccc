package cottonlock.lab.scale;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.Histogram;

/**
 * Clients that call one proxy at an even chance in time, and all of its backends: one listener on
 * every address of loopback answers at once for whatever address a backend is listed at. Latency
 * counts from when a call was due to be sent. Threads wait on sockets, as there are few calls at a
 * time.
 */
final class Calls implements AutoCloseable {
    private static final int CALLERS = 24;
    private static final long STACK = 192 << 10;
    private static final byte[] ANSWER =
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes(StandardCharsets.ISO_8859_1);

    /** Microseconds that are told apart at most. */
    private static final long LONGEST = 60_000_000;

    private static final int PATIENCE_MS = 2_000;

    private final ServerSocket backends;
    private final SplittableRandom random;
    private final double rate;
    private final LinkedBlockingQueue<Long> due = new LinkedBlockingQueue<>();
    private final Set<InetAddress> used = ConcurrentHashMap.newKeySet();
    private final Map<Socket, Boolean> open = new ConcurrentHashMap<>();
    private final AtomicLong connections = new AtomicLong();
    private final AtomicLong served = new AtomicLong();
    private final AtomicLong failed = new AtomicLong();
    private final Histogram latency = new Histogram(LONGEST, 3);
    private volatile boolean over;

    /** Rate: calls a second. */
    Calls(long seed, double rate) throws IOException {
        this.random = new SplittableRandom(seed);
        this.rate = rate;
        this.backends = new ServerSocket(0, 1_024);
        start("backends", this::accept);
    }

    private static void start(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, STACK);
        thread.setDaemon(true);
        thread.start();
    }

    /** Where all backends listen. */
    int port() {
        return backends.getLocalPort();
    }

    /** Calls go to the proxy at a port from now on. */
    void start(int port) {
        for (int i = 0; i < CALLERS; i++) {
            start("caller", () -> call(port));
        }
        start("arrivals", this::arrive);
    }

    /** What counts begins now. */
    void reset() {
        synchronized (latency) {
            latency.reset();
        }
        connections.set(0);
        served.set(0);
        failed.set(0);
    }

    private void arrive() {
        try {
            long next = System.nanoTime();
            while (!over) {
                next += (long) (-Math.log(1 - random.nextDouble()) / rate * 1e9);
                long wait = next - System.nanoTime();
                if (wait > 0) {
                    Thread.sleep(wait / 1_000_000, (int) (wait % 1_000_000));
                }
                due.add(next);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void call(int port) {
        byte[] ask =
                ("GET /quote HTTP/1.1\r\n"
                                + "Host: lab\r\n"
                                + "X-Priority-Class: quote\r\n"
                                + "X-Tenant-Id: acme\r\n"
                                + "X-Timeout-Ms: "
                                + PATIENCE_MS
                                + "\r\nX-Request-ID: ")
                        .getBytes(StandardCharsets.ISO_8859_1);
        Socket socket = null;
        long number = 0;
        while (!over) {
            try {
                long at = due.take();
                if (socket == null) {
                    socket = new Socket(InetAddress.getLoopbackAddress(), port);
                    socket.setTcpNoDelay(true);
                    socket.setSoTimeout(2 * PATIENCE_MS);
                }
                String id = Long.toString(Thread.currentThread().getId(), 36) + "-" + number++;
                byte[] rest = (id + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
                byte[] whole = java.util.Arrays.copyOf(ask, ask.length + rest.length);
                System.arraycopy(rest, 0, whole, ask.length, rest.length);
                socket.getOutputStream().write(whole);
                boolean ok = answer(socket.getInputStream());
                if (ok) {
                    served.incrementAndGet();
                    synchronized (latency) {
                        latency.recordValue(
                                Math.min(LONGEST, Math.max(0, System.nanoTime() - at) / 1_000));
                    }
                } else {
                    failed.incrementAndGet();
                }
            } catch (IOException e) {
                failed.incrementAndGet();
                close(socket);
                socket = null;
            } catch (InterruptedException e) {
                return;
            }
        }
        close(socket);
    }

    /** Reads one answer whole; whether it is a 200. */
    private static boolean answer(InputStream in) throws IOException {
        String head = head(in);
        int length = 0;
        for (String line : head.split("\r\n", 0)) {
            if (line.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:")) {
                length = Integer.parseInt(line.substring("content-length:".length()).strip());
            }
        }
        if (in.readNBytes(length).length < length) {
            throw new IOException("the answer ended early");
        }
        return head.startsWith("HTTP/1.1 200");
    }

    private static String head(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.length() < 4 || !text.substring(text.length() - 4).equals("\r\n\r\n")) {
            int b = in.read();
            if (b < 0) {
                throw new IOException("the connection ended");
            }
            text.append((char) b);
        }
        return text.toString();
    }

    private void accept() {
        while (!over) {
            try {
                Socket socket = backends.accept();
                connections.incrementAndGet();
                used.add(socket.getLocalAddress());
                open.put(socket, true);
                start("backend", () -> serve(socket));
            } catch (IOException e) {
                // It is over, or the caller has gone.
            }
        }
    }

    private void serve(Socket socket) {
        try {
            socket.setTcpNoDelay(true);
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            while (!over) {
                head(in);
                socket.getOutputStream().write(ANSWER);
            }
        } catch (IOException e) {
            // The proxy has closed it.
        } finally {
            open.remove(socket);
            close(socket);
        }
    }

    private static void close(Socket socket) {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // It is closed all the same.
        }
    }

    long served() {
        return served.get();
    }

    /** Writes what came of the calls since the last reset; of backends, all that were ever used. */
    void write(JsonGenerator json) throws IOException {
        json.writeNumberField("served", served.get());
        json.writeNumberField("not_served", failed.get());
        json.writeNumberField("backends_used", used.size());
        json.writeNumberField("connections_made", connections.get());
        json.writeNumberField("p50_ms", latency.getValueAtPercentile(50) / 1_000.0);
        json.writeNumberField("p99_ms", latency.getValueAtPercentile(99) / 1_000.0);
    }

    @Override
    public void close() {
        stop();
    }

    /** Ends the measurement; its figures can be read from here on. */
    void stop() {
        over = true;
        try {
            backends.close();
        } catch (IOException e) {
            // It is closed all the same.
        }
        open.keySet().forEach(Calls::close);
    }
}
