package cottonlock.proxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import cottonlock.proxy.io.Sockets;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Example;

/** The memory of a process while hundreds of clients hold what they have begun. */
class ManyClientsMemoryTest extends ProxyFixture {
    private static final int MEMORY_MEGABYTES = 96;
    private static final int SOCKETS = 1_024;
    private static final int CLIENTS = 300;
    private static final int FIELDS = 1_500;
    private static final long PLAY_NANOS = 12_000_000_000L;

    /** How long both processes of a replacement serve before the first one is told to end. */
    private static final long BESIDE_NANOS = 1_500_000_000L;

    private static final int BACKENDS = 4;
    private static final int RESPONSE_BYTES = 400 << 10;

    /** A client that reads slowly takes so many bytes ten times a second: 64 KiB a second. */
    private static final int READ_BYTES = 6_554;

    private static final long READ_PAUSE_MILLIS = 100;

    /** Half of a request: a head of very many short fields and half of a body. */
    private static String halfRequest(String id) {
        StringBuilder fields = new StringBuilder("Content-Length: 60000\r\n");
        for (int i = 0; i < FIELDS; i++) {
            fields.append((char) ('a' + i % 26)).append(":\r\n");
        }
        return request("once", id, fields.toString(), "") + "x".repeat(30_000);
    }

    /**
     * Guards against a process that passed its memory limit while clients had sent heads of very
     * many short fields and half a body.
     */
    @Example
    void clientsThatStopWithinALargeRequestKeepTheProcessWithinItsLimit() throws Exception {
        StandIn backend = new StandIn(request -> OK);
        assertStaysWithinLimit(
                new String[] {backend.host("b")}, ManyClientsMemoryTest::sendHalfARequest);
    }

    /**
     * Guards against a process that passed its memory limit while clients read long responses
     * slowly: only the connections of clients were limited by memory, those to backends were not.
     */
    @Example
    void clientsThatReadLongResponsesSlowlyKeepTheProcessWithinItsLimit() throws Exception {
        String[] hosts = new String[BACKENDS];
        for (int i = 0; i < BACKENDS; i++) {
            hosts[i] = new LongResponses().host("b" + i);
        }
        assertStaysWithinLimit(hosts, ManyClientsMemoryTest::readSlowly);
    }

    /**
     * Guards against two processes of a replacement that each hold as many connections as the
     * memory limit allows one process.
     */
    @Example
    void processesOfAReplacementStayWithinTheLimitTogether() throws Exception {
        StandIn backend = new StandIn(request -> OK);
        int[] ports = freePorts(3);
        Path folder = Files.createTempDirectory("replacement");
        Process old = launchWithLimit(folder, ports[0], ports[1], backend.host("b"));
        long endNanos = System.nanoTime() + PLAY_NANOS;
        AtomicInteger requests = new AtomicInteger();
        List<Thread> clients =
                startClients(endNanos, ports[0], requests, ManyClientsMemoryTest::sendHalfARequest);
        eventually(() -> requests.get() >= CLIENTS, "clients came");
        Process next = launchWithLimit(folder, ports[0], ports[2], backend.host("b"));
        long mostBytes = mostBytesUntil(System.nanoTime() + BESIDE_NANOS, old, next);
        old.destroy();
        mostBytes = Math.max(mostBytes, mostBytesUntil(endNanos, old, next));
        join(clients);
        assertTrue(next.isAlive());
        assertWithinLimit(mostBytes);
    }

    /** What a client does on a connection. */
    private interface Play {
        void run(Socket socket, String id) throws IOException, InterruptedException;
    }

    private void assertStaysWithinLimit(String[] hosts, Play play) throws Exception {
        int[] ports = freePorts(2);
        Path folder = Files.createTempDirectory("clients");
        Process process = launchWithLimit(folder, ports[0], ports[1], hosts);
        long endNanos = System.nanoTime() + PLAY_NANOS;
        AtomicInteger requests = new AtomicInteger();
        List<Thread> clients = startClients(endNanos, ports[0], requests, play);
        long mostBytes = mostBytesUntil(endNanos, process);
        join(clients);
        assertTrue(process.isAlive());
        assertTrue(requests.get() >= CLIENTS, "clients came: " + requests);
        assertWithinLimit(mostBytes);
    }

    private Process launchWithLimit(Path folder, int listen, int mgmt, String... hosts)
            throws Exception {
        String more = "\"name\":\"p\",\"mgmt\":\"127.0.0.1:" + mgmt + "\",";
        String settings =
                settings(SOCKETS, 1, more, hosts)
                        .replace("127.0.0.1:0", "127.0.0.1:" + listen)
                        .replace("\"memory_mb\":64", "\"memory_mb\":" + MEMORY_MEGABYTES);
        return launch(folder, config(settings), mgmt, deployedOptions());
    }

    private static List<Thread> startClients(
            long endNanos, int port, AtomicInteger requests, Play play) {
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(Sockets.start("client", () -> playUntil(endNanos, port, requests, play)));
        }
        return clients;
    }

    private static void join(List<Thread> clients) throws InterruptedException {
        for (Thread client : clients) {
            client.join(8_000);
        }
    }

    /** The most that processes take together until a time of the monotonic clock, in bytes. */
    private static long mostBytesUntil(long endNanos, Process... processes)
            throws InterruptedException {
        long mostBytes = 0;
        while (System.nanoTime() < endNanos) {
            long bytes =
                    Arrays.stream(processes).mapToLong(ManyClientsMemoryTest::ownMemoryBytes).sum();
            mostBytes = Math.max(mostBytes, bytes);
            Thread.sleep(20);
        }
        return mostBytes;
    }

    private static void assertWithinLimit(long bytes) {
        assertTrue(
                bytes <= (long) MEMORY_MEGABYTES << 20,
                "it took " + (bytes >> 10) + " kB of " + (MEMORY_MEGABYTES << 10));
    }

    private static void playUntil(long endNanos, int port, AtomicInteger requests, Play play) {
        while (System.nanoTime() < endNanos) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                socket.setSoTimeout(4_000);
                play.run(socket, "many" + requests.incrementAndGet());
            } catch (IOException | InterruptedException e) {
                // It was closed; the client comes again.
            }
        }
    }

    private static void sendHalfARequest(Socket socket, String id) throws IOException {
        send(socket, halfRequest(id));
        socket.getInputStream().readAllBytes();
    }

    private static void readSlowly(Socket socket, String id)
            throws IOException, InterruptedException {
        send(socket, request("read", id, "Connection: close\r\n", ""));
        byte[] part = new byte[READ_BYTES];
        while (socket.getInputStream().readNBytes(part, 0, READ_BYTES) == READ_BYTES) {
            Thread.sleep(READ_PAUSE_MILLIS);
        }
    }

    /** A backend that writes a long response to each request, as fast as it is read. */
    private final class LongResponses extends RawBackend {
        LongResponses() throws IOException {}

        @Override
        void serve(Socket socket) throws IOException {
            byte[] body = new byte[RESPONSE_BYTES];
            while (!readHead(socket.getInputStream()).isEmpty()) {
                send(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n");
                socket.getOutputStream().write(body);
            }
        }
    }
}
