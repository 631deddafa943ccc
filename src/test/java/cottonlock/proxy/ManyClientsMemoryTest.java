package cottonlock.proxy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import cottonlock.proxy.io.Sockets;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
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
    private static final int BACKENDS = 4;
    private static final int RESPONSE_BYTES = 400 << 10;

    /** A client that reads slowly takes so many bytes ten times a second: 64 KiB a second. */
    private static final int READ_BYTES = 6_554;

    private static final long READ_PAUSE_MILLIS = 100;

    /** The options that the program is deployed with, but for the archive, which tests lack. */
    private static String[] deployedOptions() throws IOException {
        return Files.readAllLines(Path.of("deploy", "jvm.options")).stream()
                .filter(line -> line.startsWith("-"))
                .filter(line -> !line.contains("SharedArchiveFile"))
                .toArray(String[]::new);
    }

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

    /** What a client does on a connection. */
    private interface Play {
        void run(Socket socket, String id) throws IOException, InterruptedException;
    }

    private void assertStaysWithinLimit(String[] hosts, Play play) throws Exception {
        int[] ports = freePorts(2);
        String settings =
                settings(SOCKETS, 1, "\"mgmt\":\"127.0.0.1:" + ports[1] + "\",", hosts)
                        .replace("127.0.0.1:0", "127.0.0.1:" + ports[0])
                        .replace("\"memory_mb\":64", "\"memory_mb\":" + MEMORY_MEGABYTES);
        Path folder = Files.createTempDirectory("clients");
        Process process = launch(folder, config(settings), ports[1], deployedOptions());
        long endNanos = System.nanoTime() + PLAY_NANOS;
        AtomicInteger requests = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(
                    Sockets.start("client", () -> playUntil(endNanos, ports[0], requests, play)));
        }
        long mostBytes = 0;
        while (System.nanoTime() < endNanos) {
            mostBytes = Math.max(mostBytes, ownMemoryBytes(process));
            Thread.sleep(20);
        }
        for (Thread client : clients) {
            client.join(8_000);
        }
        assertTrue(process.isAlive());
        assertTrue(requests.get() >= CLIENTS, "clients came: " + requests);
        assertTrue(
                mostBytes <= (long) MEMORY_MEGABYTES << 20,
                "it took " + (mostBytes >> 10) + " kB of " + (MEMORY_MEGABYTES << 10));
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
