package cottonlock.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import cottonlock.proxy.discovery.DiscoveryClient;
import cottonlock.proxy.io.Sockets;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Collectors;
import net.jqwik.api.Example;

/** Guards against threads and sockets that are left when {@code close} has returned. */
class ThreadsAfterCloseTest extends ProxyFixture {
    private static final int DISCOVERY_ROUNDS = 500;
    private static final int PROXY_ROUNDS = 40;
    private static final int CLIENTS = 4;
    private static final int BUSY_THREADS = 8;

    private static final Set<String> PROXY_THREADS =
            Set.of(
                    "module",
                    "clerk",
                    "starter",
                    "timers",
                    "watchdog",
                    "list",
                    "peers",
                    "listener",
                    "management",
                    "bans",
                    "connection");

    private final SplittableRandom random = new SplittableRandom(1);

    /** Threads of connections of earlier tests may wait for further connections for a while. */
    private final Set<Thread> before = Thread.getAllStackTraces().keySet();

    /** The names of this test's proxies' threads that still run. */
    private List<String> proxyThreads() {
        return Thread.getAllStackTraces().keySet().stream()
                .filter(thread -> thread.isAlive() && !before.contains(thread))
                .map(Thread::getName)
                .filter(PROXY_THREADS::contains)
                .sorted()
                .collect(Collectors.toList());
    }

    private static void besideBusyThreads(Check test) throws Exception {
        AtomicBoolean over = new AtomicBoolean();
        try {
            for (int i = 0; i < BUSY_THREADS; i++) {
                Sockets.start("busy", () -> spinUntil(over));
            }
            test.holds();
        } finally {
            over.set(true);
        }
    }

    private static void spinUntil(AtomicBoolean over) {
        while (!over.get()) {
            Thread.onSpinWait();
        }
    }

    /** A discovery server that answers each watch with an empty list and sends nothing more. */
    private StandIn discovery() throws IOException {
        String list = list(1, true) + "\n";
        return new StandIn(
                request ->
                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                + Integer.toHexString(list.length())
                                + "\r\n"
                                + list
                                + "\r\n");
    }

    /**
     * A watch that was closed just before it opened its stream kept reading for as long as its
     * thread lived.
     */
    @Example
    void aClosedDiscoveryClientHasNoThread() throws Exception {
        StandIn discovery = discovery();
        InetSocketAddress address =
                new InetSocketAddress("127.0.0.1", discovery.server.getLocalPort());
        besideBusyThreads(
                () -> {
                    for (int i = 0; i < DISCOVERY_ROUNDS; i++) {
                        DiscoveryClient client =
                                new DiscoveryClient(
                                        address, List.of("z"), random.split(), new Ignored());
                        client.start();
                        LockSupport.parkNanos(random.nextLong(600_000));
                        client.close();
                        assertEquals(List.of(), proxyThreads(), "round " + i);
                    }
                    return true;
                });
    }

    private static final class Ignored implements DiscoveryClient.Listener {
        @Override
        public void listApplied(long version, boolean complete, int size) {
            // Only threads matter here.
        }

        @Override
        public void watchLost() {
            // Only threads matter here.
        }
    }

    /**
     * Uses the same addresses each time, with requests in flight, one of them at a backend that the
     * list has dropped meanwhile: a second proxy started right after the first failed to bind, and
     * threads of the first were left.
     */
    @Example
    void aClosedProxyHasNoThreadAndFreesItsAddresses() throws Exception {
        StandIn discovery = discovery();
        StandIn listed = new StandIn(ThreadsAfterCloseTest::answerLate);
        String addresses =
                "\"mgmt\":\"127.61.1.1:%d\",\"peer_listen\":\"127.61.1.1:%d\","
                        + "\"peers\":[\"127.61.1.1:9\"],\"peers_all\":\"127.61.1.1:9\",";
        String more = String.format(addresses, freePort(), freePort());
        String text =
                settings(256, discovery.server.getLocalPort(), more, listed.host("b0"))
                        .replace("127.0.0.1:0", "127.61.1.1:" + freePort());
        Path file = config(text);
        besideBusyThreads(
                () -> {
                    for (int i = 0; i < PROXY_ROUNDS; i++) {
                        Proxy started = new Proxy(file);
                        for (int client = 0; client < CLIENTS; client++) {
                            sendAndLeaveOpen(started.port(), i + "-" + client);
                        }
                        Thread.sleep(random.nextLong(60));
                        started.close();
                        assertEquals(List.of(), proxyThreads(), "round " + i);
                    }
                    return true;
                });
    }

    private static String answerLate(List<String> request) throws InterruptedException {
        Thread.sleep(400);
        return OK;
    }

    private static int freePort() throws IOException {
        try (ServerSocket reserved = new ServerSocket()) {
            reserved.bind(new InetSocketAddress("127.61.1.1", 0));
            return reserved.getLocalPort();
        }
    }

    private void sendAndLeaveOpen(int port, String id) throws IOException {
        Socket socket = new Socket("127.61.1.1", port);
        open.add(socket);
        send(socket, request("read", id, "", ""));
    }
}
