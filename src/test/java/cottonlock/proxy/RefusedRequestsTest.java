package cottonlock.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import cottonlock.proxy.io.RateLimitedLog;
import cottonlock.proxy.io.Sockets;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import net.jqwik.api.Example;

/** Clients that are refused and send the next request at once. */
class RefusedRequestsTest extends ProxyFixture {
    private static final int CLIENTS = 8;
    private static final int REQUESTS_PER_CLIENT = 2_500;
    private static final String LONG_QUERY = "?q=" + "a".repeat(3_000);

    /** The deadline of the class, in microseconds, is far beyond the end of the test. */
    private static final String EXPIRY = "\"Expiry\":1500000";

    private static final String LONG_EXPIRY = "\"Expiry\":60000000";

    /**
     * Guards against refused requests that were kept until their deadline: they filled the heap
     * within a second, and no client was answered any more.
     */
    @Example
    void refusedRequestsAreNotKeptUntilTheirDeadline() throws Exception {
        int[] ports = freePorts(2);
        Path folder = Files.createTempDirectory("refused");
        String settings =
                settings(256, 1, "\"mgmt\":\"127.0.0.1:" + ports[1] + "\",")
                        .replace("127.0.0.1:0", "127.0.0.1:" + ports[0])
                        .replace(EXPIRY, LONG_EXPIRY);
        Process process = launch(folder, config(settings), ports[1], "-Xmx32m", "-XX:+UseSerialGC");
        AtomicReference<Exception> fault = new AtomicReference<>();
        AtomicInteger refused = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            String name = "client" + i + "-";
            clients.add(
                    Sockets.start(
                            name,
                            () -> {
                                try {
                                    sendUntilRefused(ports[0], name, refused);
                                } catch (Exception e) {
                                    fault.set(e);
                                }
                            }));
        }
        for (Thread client : clients) {
            client.join(60_000);
        }
        assertEquals(null, fault.get());
        assertEquals(CLIENTS * REQUESTS_PER_CLIENT, refused.get());
        process.destroy();
        process.waitFor();
    }

    private static void sendUntilRefused(int port, String name, AtomicInteger refused)
            throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(4_000);
            for (int i = 0; i < REQUESTS_PER_CLIENT; i++) {
                send(
                        socket,
                        request("read", name + i, "X-Timeout-Ms: 50000\r\n", "")
                                .replace("?sid=7", LONG_QUERY));
                assertEquals(503, status(receive(socket)));
                refused.incrementAndGet();
            }
        }
    }

    /** Guards against a listener that ended when one connection found no memory. */
    @Example
    void aConnectionWithoutMemoryDoesNotEndTheListener() throws Exception {
        AtomicInteger connections = new AtomicInteger();
        AtomicReference<Socket> served = new AtomicReference<>();
        WorkerThreads workers = new WorkerThreads(new RateLimitedLog(System.getLogger("test")));
        ClientListener listener =
                new ClientListener(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        false,
                        1,
                        () -> Integer.MAX_VALUE,
                        (socket, from) -> {
                            if (connections.incrementAndGet() == 1) {
                                throw new OutOfMemoryError("in a test");
                            }
                            served.set(socket);
                            throw new IllegalStateException("the test ends here");
                        },
                        workers,
                        new RateLimitedLog(System.getLogger("test")));
        Thread thread = Sockets.start("listener", listener);
        try (Socket first = new Socket(InetAddress.getLoopbackAddress(), listener.port())) {
            first.setSoTimeout(4_000);
            assertEquals(-1, first.getInputStream().read(), "it is closed");
            try (Socket second = new Socket(InetAddress.getLoopbackAddress(), listener.port())) {
                eventually(() -> served.get() != null, "the next one is accepted");
                assertNotNull(second);
            }
        } finally {
            listener.close();
            thread.join(4_000);
            workers.close();
        }
    }
}
