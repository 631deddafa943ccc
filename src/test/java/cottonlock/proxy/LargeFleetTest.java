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

    private void assertStaysWithinLimit(int memoryMegabytes) throws Exception {
        ManyBackends backends = new ManyBackends();
        open.add(backends);
        int[] ports = freePorts(2);
        Path folder = Files.createTempDirectory("fleet");
        Process process = launchWithLimit(folder, ports, memoryMegabytes, backends);
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
            Path folder, int[] ports, int memoryMegabytes, ManyBackends backends) throws Exception {
        String more = "\"name\":\"p\",\"mgmt\":\"127.0.0.1:" + ports[1] + "\",";
        String settings =
                settings(SOCKETS, 1, more, backends.hosts(BACKENDS))
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
