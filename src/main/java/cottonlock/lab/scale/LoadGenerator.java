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
 * Clients that call one proxy with Poisson arrivals, together with all of its backends: one
 * listener on all loopback addresses answers at once for each address that a backend is listed at.
 * Latency counts from the scheduled time of a call, so a proxy that falls behind shows in it.
 * Blocking I/O with a thread per connection suffices, as few calls run at a time.
 */
final class LoadGenerator implements AutoCloseable {
    private static final int CLIENT_THREADS = 24;
    private static final long THREAD_STACK_BYTES = 192 << 10;
    private static final byte[] RESPONSE =
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes(StandardCharsets.ISO_8859_1);

    /** The longest latency that the histogram distinguishes. */
    private static final long MAX_LATENCY_MICROS = 60_000_000;

    /** The timeout that calls announce; a client waits twice as long for data. */
    private static final int CLIENT_TIMEOUT_MS = 2_000;

    private final ServerSocket backendListener;
    private final SplittableRandom random;
    private final double callsPerSecond;
    private final LinkedBlockingQueue<Long> dueTimesNanos = new LinkedBlockingQueue<>();
    private final Set<InetAddress> usedBackendAddresses = ConcurrentHashMap.newKeySet();
    private final Map<Socket, Boolean> openConnections = new ConcurrentHashMap<>();
    private final AtomicLong acceptedConnections = new AtomicLong();
    private final AtomicLong served = new AtomicLong();
    private final AtomicLong failed = new AtomicLong();
    private final Histogram latency = new Histogram(MAX_LATENCY_MICROS, 3);
    private volatile boolean stopped;

    /** Opens the backends' listener; calls are sent after {@link #start}. */
    LoadGenerator(long seed, double callsPerSecond) throws IOException {
        this.random = new SplittableRandom(seed);
        this.callsPerSecond = callsPerSecond;
        this.backendListener = new ServerSocket(0, 1_024);
        startThread("backends", this::acceptConnections);
    }

    private static void startThread(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, THREAD_STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
    }

    /** The port that all backends listen on. */
    int port() {
        return backendListener.getLocalPort();
    }

    /** Starts sending calls to the proxy at a loopback port. */
    void start(int port) {
        for (int i = 0; i < CLIENT_THREADS; i++) {
            startThread("caller", () -> sendCalls(port));
        }
        startThread("arrivals", this::scheduleArrivals);
    }

    /** Discards the calls measured so far, such as those of a warm-up. */
    void reset() {
        synchronized (latency) {
            latency.reset();
        }
        acceptedConnections.set(0);
        served.set(0);
        failed.set(0);
    }

    private void scheduleArrivals() {
        try {
            long nextNanos = System.nanoTime();
            while (!stopped) {
                nextNanos += (long) (-Math.log(1 - random.nextDouble()) / callsPerSecond * 1e9);
                long waitNanos = nextNanos - System.nanoTime();
                if (waitNanos > 0) {
                    Thread.sleep(waitNanos / 1_000_000, (int) (waitNanos % 1_000_000));
                }
                dueTimesNanos.add(nextNanos);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void sendCalls(int port) {
        byte[] requestHead =
                ("GET /quote HTTP/1.1\r\n"
                                + "Host: lab\r\n"
                                + "X-Priority-Class: quote\r\n"
                                + "X-Tenant-Id: acme\r\n"
                                + "X-Timeout-Ms: "
                                + CLIENT_TIMEOUT_MS
                                + "\r\nX-Request-ID: ")
                        .getBytes(StandardCharsets.ISO_8859_1);
        Socket socket = null;
        long number = 0;
        while (!stopped) {
            try {
                long dueNanos = dueTimesNanos.take();
                if (socket == null) {
                    socket = new Socket(InetAddress.getLoopbackAddress(), port);
                    socket.setTcpNoDelay(true);
                    socket.setSoTimeout(2 * CLIENT_TIMEOUT_MS);
                }
                String id = Long.toString(Thread.currentThread().getId(), 36) + "-" + number++;
                byte[] requestEnd = (id + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
                byte[] request =
                        java.util.Arrays.copyOf(
                                requestHead, requestHead.length + requestEnd.length);
                System.arraycopy(requestEnd, 0, request, requestHead.length, requestEnd.length);
                socket.getOutputStream().write(request);
                boolean ok = readResponse(socket.getInputStream());
                if (ok) {
                    served.incrementAndGet();
                    synchronized (latency) {
                        latency.recordValue(
                                Math.min(
                                        MAX_LATENCY_MICROS,
                                        Math.max(0, System.nanoTime() - dueNanos) / 1_000));
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

    /** Reads a complete response; returns whether its status is 200. */
    private static boolean readResponse(InputStream in) throws IOException {
        String head = readHead(in);
        int length = 0;
        for (String line : head.split("\r\n", 0)) {
            if (line.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:")) {
                length = Integer.parseInt(line.substring("content-length:".length()).strip());
            }
        }
        if (in.readNBytes(length).length < length) {
            throw new IOException("the connection ended within a response body");
        }
        return head.startsWith("HTTP/1.1 200");
    }

    private static String readHead(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.length() < 4 || !text.substring(text.length() - 4).equals("\r\n\r\n")) {
            int b = in.read();
            if (b < 0) {
                throw new IOException("the connection ended within a message head");
            }
            text.append((char) b);
        }
        return text.toString();
    }

    private void acceptConnections() {
        while (!stopped) {
            try {
                Socket socket = backendListener.accept();
                acceptedConnections.incrementAndGet();
                usedBackendAddresses.add(socket.getLocalAddress());
                openConnections.put(socket, true);
                startThread("backend", () -> serveConnection(socket));
            } catch (IOException e) {
                // The listener was closed, or the peer closed its connection.
            }
        }
    }

    private void serveConnection(Socket socket) {
        try {
            socket.setTcpNoDelay(true);
            InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
            while (!stopped) {
                readHead(in);
                socket.getOutputStream().write(RESPONSE);
            }
        } catch (IOException e) {
            // The proxy closed the connection.
        } finally {
            openConnections.remove(socket);
            close(socket);
        }
    }

    private static void close(Socket socket) {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // The socket is released even if closing fails.
        }
    }

    long served() {
        return served.get();
    }

    /**
     * Writes the results of the calls since the last reset; the number of backends used counts from
     * the start.
     */
    void write(JsonGenerator json) throws IOException {
        json.writeNumberField("served", served.get());
        json.writeNumberField("not_served", failed.get());
        json.writeNumberField("backends_used", usedBackendAddresses.size());
        json.writeNumberField("connections_made", acceptedConnections.get());
        json.writeNumberField("p50_ms", latency.getValueAtPercentile(50) / 1_000.0);
        json.writeNumberField("p99_ms", latency.getValueAtPercentile(99) / 1_000.0);
    }

    @Override
    public void close() {
        stop();
    }

    /** Stops the calls and closes the backends' connections; to be called before {@link #write}. */
    void stop() {
        stopped = true;
        try {
            backendListener.close();
        } catch (IOException e) {
            // The socket is released even if closing fails.
        }
        openConnections.keySet().forEach(LoadGenerator::close);
    }
}
