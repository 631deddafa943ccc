package cottonlock.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cottonlock.proxy.io.Sockets;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Example;

/** What a process takes while it sends calm traffic to the backends of a large fleet. */
class LargeFleetTest extends ProxyFixture {
    private static final int BACKENDS = 3_200;
    private static final int USED_BACKENDS = 2_000;
    private static final int SOCKETS = 1_024;
    private static final int CLIENTS = 12;
    private static final long PAUSE_MILLIS = 5;
    private static final long MAX_PLAY_NANOS = 60_000_000_000L;

    private static final int REPLACED = 1_920;
    private static final long REPLACE_WITHIN_NANOS = 7_000_000_000L;

    /** Backends that are listed as leaving before the first of them has left. */
    private static final int LEAVING = 270;

    /** Less than the time after which a silent watch is given up. */
    private static final long KEEP_ALIVE_MILLIS = 1_000;

    /** For longer than the replacement takes. */
    private static final int SINGLE_REQUESTS = 250;

    private static final long SINGLE_REQUEST_PAUSE_MILLIS = 40;

    /** The expiry of the requests' class, and a second more. */
    private static final int MAX_ANSWER_MILLIS = 2_500;

    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();

    /**
     * Guards against a thread, or anything else of size, that a backend keeps from its first
     * request on: with 3,200 backends the process passed 192 MB after 1,500 of them had been used.
     */
    @Example
    void memoryDoesNotGrowWithTheBackendsThatHaveBeenUsed() throws Exception {
        assertStaysWithinLimit(192);
    }

    /**
     * Guards against what the list of a large fleet takes beside connections: the configuration
     * that was read at the start was kept with its list, and the connections that there is memory
     * for were counted as with a short list.
     */
    @Example
    void theListOfALargeFleetLeavesRoomForConnectionsInLittleMemory() throws Exception {
        assertStaysWithinLimit(96);
    }

    /**
     * Guards against work for the whole list at each change of one entry: while 1,920 of 3,200
     * backends were replaced within 7 s, hardly any request was answered.
     */
    @Example
    void requestsAreAnsweredWhileSixInTenBackendsAreReplaced() throws Exception {
        ManyBackends backends = new ManyBackends();
        open.add(backends);
        Changes discovery = new Changes(backends.hosts(BACKENDS));
        int[] ports = freePorts(2);
        Path folder = Files.createTempDirectory("replaced");
        String[] hosts = backends.hosts(BACKENDS);
        Process process = launchWithLimit(folder, ports, 192, discovery.port(), hosts);
        discovery.begin.countDown();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < SINGLE_REQUESTS; i++) {
            String id = "single" + i;
            clients.add(Sockets.start("client", () -> sendOnce(ports[0], id)));
            Thread.sleep(SINGLE_REQUEST_PAUSE_MILLIS);
        }
        for (Thread client : clients) {
            client.join(8_000);
        }
        assertTrue(process.isAlive());
        assertTrue(discovery.toldAll, "discovery told all changes");
        assertEquals(0, unanswered.get(), "unanswered of " + clients.size());
    }

    /** Tells the list and then, one after the other, that backends leave and others come. */
    private final class Changes extends RawBackend {
        private final String[] hosts;
        private final CountDownLatch begin = new CountDownLatch(1);
        private volatile boolean toldAll;

        Changes(String[] hosts) throws IOException {
            this.hosts = hosts;
        }

        @Override
        void serve(Socket socket) throws IOException, InterruptedException {
            String whole = list(1, true, hosts);
            if (!readHead(socket.getInputStream()).contains("stream=1")) {
                String length = "Content-Length: " + whole.length();
                send(socket, "HTTP/1.1 200 OK\r\n" + length + "\r\n\r\n" + whole);
                return;
            }
            send(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            tell(socket, whole);
            begin.await();
            tellReplacements(socket);
            toldAll = true;
            while (true) {
                Thread.sleep(KEEP_ALIVE_MILLIS);
                tell(socket, "");
            }
        }

        private void tellReplacements(Socket socket) throws IOException, InterruptedException {
            long startNanos = System.nanoTime();
            int version = 1;
            for (int i = 0; i < REPLACED; i++) {
                String successor =
                        hosts[i].replace("\"host\":\"b", "\"host\":\"n")
                                .replace("\"born_ms\":0", "\"born_ms\":1");
                for (String host : List.of(successor, changed(i, "leaving"))) {
                    tell(socket, list(++version, false, host));
                }
                if (i >= LEAVING) {
                    tell(socket, list(++version, false, changed(i - LEAVING, "left")));
                }
                long dueNanos = startNanos + i * REPLACE_WITHIN_NANOS / REPLACED;
                TimeUnit.NANOSECONDS.sleep(dueNanos - System.nanoTime());
            }
        }

        private String changed(int number, String health) {
            return hosts[number].replace("active", health);
        }

        private void tell(Socket socket, String line) throws IOException {
            send(socket, Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n");
        }
    }

    private void sendOnce(int port, String id) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(MAX_ANSWER_MILLIS);
            send(socket, request("read", id, "Connection: close\r\n", ""));
            if (receive(socket).isEmpty()) {
                unanswered.incrementAndGet();
            }
        } catch (IOException e) {
            unanswered.incrementAndGet();
        }
    }

    private void assertStaysWithinLimit(int memoryMegabytes) throws Exception {
        ManyBackends backends = new ManyBackends();
        open.add(backends);
        int[] ports = freePorts(2);
        Path folder = Files.createTempDirectory("fleet");
        Process process =
                launchWithLimit(folder, ports, memoryMegabytes, 1, backends.hosts(BACKENDS));
        long endNanos = System.nanoTime() + MAX_PLAY_NANOS;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(
                    Sockets.start(
                            "client", () -> sendUntilEnoughAreUsed(ports[0], backends, endNanos)));
        }
        long mostBytes = 0;
        int mostThreads = 0;
        while (isPlaying(backends, endNanos)) {
            mostBytes = Math.max(mostBytes, ownMemoryBytes(process));
            mostThreads = Math.max(mostThreads, threadCount(process));
            Thread.sleep(20);
        }
        for (Thread client : clients) {
            client.join(8_000);
        }
        assertTrue(process.isAlive());
        assertTrue(backends.used() >= USED_BACKENDS, backends.used() + " backends were used");
        assertEquals(0, unanswered.get(), "unanswered of " + requests);
        assertTrue(
                mostBytes <= (long) memoryMegabytes << 20,
                "it took " + (mostBytes >> 10) + " kB of " + (memoryMegabytes << 10));
        assertTrue(
                mostThreads <= SOCKETS,
                mostThreads + " threads, where connections may have " + SOCKETS);
    }

    private Process launchWithLimit(
            Path folder, int[] ports, int memoryMegabytes, int discovery, String... hosts)
            throws Exception {
        String more = "\"name\":\"p\",\"mgmt\":\"127.0.0.1:" + ports[1] + "\",";
        String settings =
                settings(SOCKETS, discovery, more, hosts)
                        .replace("127.0.0.1:0", "127.0.0.1:" + ports[0])
                        .replace("\"memory_mb\":64", "\"memory_mb\":" + memoryMegabytes);
        return launch(folder, config(settings), ports[1], deployedOptions());
    }

    private static boolean isPlaying(ManyBackends backends, long endNanos) {
        return backends.used() < USED_BACKENDS && System.nanoTime() < endNanos;
    }

    private void sendUntilEnoughAreUsed(int port, ManyBackends backends, long endNanos) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(4_000);
            while (isPlaying(backends, endNanos)) {
                send(socket, request("read", "r" + requests.incrementAndGet(), "", ""));
                if (status(receive(socket)) != 200) {
                    unanswered.incrementAndGet();
                }
                Thread.sleep(PAUSE_MILLIS);
            }
        } catch (IOException | InterruptedException e) {
            unanswered.incrementAndGet();
        }
    }
}
