package cottonlock.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cottonlock.admin.ManagementServer;
import cottonlock.admin.Metrics;
import cottonlock.decision.LoadBalancer;
import cottonlock.decision.api.Endpoint;
import cottonlock.decision.api.LoadBalancerActions;
import cottonlock.decision.api.RejectionReason;
import cottonlock.proxy.concurrent.TickClock;
import cottonlock.proxy.control.ManualEjections;
import cottonlock.proxy.control.PeerMessenger;
import cottonlock.proxy.control.ProxyConfiguration;
import cottonlock.proxy.control.SharedFile;
import cottonlock.proxy.discovery.EndpointList;
import cottonlock.proxy.discovery.EndpointListParser;
import cottonlock.proxy.discovery.EndpointListWatch;
import cottonlock.proxy.http.BufferPool;
import cottonlock.proxy.io.JsonReader;
import cottonlock.proxy.io.RateLimitedLog;
import cottonlock.proxy.io.Sockets;
import cottonlock.setup.LoadBalancerFactory;
import cottonlock.setup.Settings;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.ResourceBundle;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.stream.Stream;
import net.jqwik.api.Example;

/**
 * The endpoint list of discovery: in what time changes take effect, failures that must not prevent
 * updates, and the handling of removed and draining backends.
 */
class ListsTest extends ProxyFixture {
    private static final String HEAD = "HTTP/1.1 200 OK\r\n\r\n";

    /** In ticks (6 s): after this time discovery counts a change as delivered. */
    private static final long PROPAGATION_LIMIT_TICKS = 60_000;

    /** In ticks: what the sum of the other phases must leave for the response of discovery. */
    private static final long RESPONSE_RESERVE_TICKS = 1_500;

    /** What discovery does on a connection after it has read the head of the request. */
    private interface ConnectionHandler {
        void handle(Socket socket) throws Exception;
    }

    /** Starts a discovery server at a port (0: any); each connection carries one request. */
    private ServerSocket startDiscovery(int port, ConnectionHandler handler) throws IOException {
        ServerSocket server = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
        open.add(server);
        Sockets.start(
                "discovery",
                () -> {
                    try {
                        while (true) {
                            Socket socket = server.accept();
                            open.add(socket);
                            Sockets.start(
                                    "discovery call",
                                    () -> {
                                        try (socket) {
                                            BufferedReader in =
                                                    new BufferedReader(
                                                            new InputStreamReader(
                                                                    socket.getInputStream(),
                                                                    StandardCharsets.ISO_8859_1));
                                            for (String line = in.readLine();
                                                    !line.isEmpty();
                                                    line = in.readLine()) {
                                                // Skips the head of the request.
                                            }
                                            handler.handle(socket);
                                        } catch (Exception e) {
                                            // The connection has ended.
                                        }
                                    });
                        }
                    } catch (IOException e) {
                        // The test has closed the server.
                    }
                });
        return server;
    }

    /** Binds a port without listening: while the socket is open, connections are refused. */
    private Socket reserveRefusingPort() throws IOException {
        Socket socket = new Socket();
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        open.add(socket);
        return socket;
    }

    /** A server whose backlog is full: connection attempts stay pending until it accepts. */
    private ServerSocket listenWithFullBacklog() throws IOException {
        ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        open.add(server);
        for (int i = 0; i < 50; i++) {
            Socket socket = new Socket();
            open.add(socket);
            try {
                socket.connect(server.getLocalSocketAddress(), 200);
            } catch (SocketTimeoutException e) {
                return server;
            }
        }
        throw new AssertionError("the backlog does not fill up");
    }

    private static void keepOpen() throws InterruptedException {
        Thread.sleep(60_000);
    }

    // Propagation within 6 s

    /** Counts subscriptions to the endpoint list, and records the time of the timer. */
    private static final class SubscriptionCounter implements LoadBalancerActions {
        private int subscribeCount;
        private long timerAtTicks;

        @Override
        public void startAttempt(long requestId, String backendId, long sendByTicks) {}

        @Override
        public void cancelAttempt(long requestId, int attemptNumber) {}

        @Override
        public void reject(long requestId, long retryAfterTicks, RejectionReason rejectionReason) {}

        @Override
        public void fail(long requestId, RejectionReason rejectionReason) {}

        @Override
        public void scheduleTimer(long atTicks) {
            timerAtTicks = atTicks;
        }

        @Override
        public void subscribeEndpointList() {
            subscribeCount++;
        }

        @Override
        public void closeIdleConnections(String backendId) {}

        @Override
        public void probe(String backendId) {}

        @Override
        public void broadcastToPeers(byte[] message) {}

        @Override
        public void log(String line) {}
    }

    /**
     * Reports a failure to the load balancer and runs its timers until it subscribes again.
     *
     * @return the ticks from the failure until that subscription
     */
    private static long ticksUntilResubscription(
            LoadBalancer loadBalancer, SubscriptionCounter actions, long now) {
        int before = actions.subscribeCount;
        loadBalancer.onEndpointListFailed(now);
        long at = now;
        while (actions.subscribeCount == before) {
            at = actions.timerAtTicks;
            loadBalancer.onTimer(at);
        }
        return at - now;
    }

    @Example
    void failedWatchIsReplacedWithinSixSecondsForAnySettings() throws Exception {
        for (String askWithinTicks : List.of("2000000", "10000000", "120000000", "3600000000")) {
            long longestTicks = 0;
            for (int seed = 0; seed < 200; seed++) {
                Settings settings =
                        ProxyConfiguration.read(
                                        config(
                                                settings(256, 1, "")
                                                        .replace(
                                                                "\"AskWithin\":1000000",
                                                                "\"AskWithin\":" + askWithinTicks)))
                                .settings();
                SubscriptionCounter actions = new SubscriptionCounter();
                LoadBalancer loadBalancer = new LoadBalancerFactory(settings).create(actions, seed);
                loadBalancer.start(0);
                loadBalancer.onEndpointList(
                        0,
                        List.of(new Endpoint("b", 0, 0, 0, Endpoint.State.READY, 1, 0)),
                        true,
                        true);
                assertEquals(1, actions.subscribeCount, "a new process subscribes at once");
                long now = 0;
                for (int failed = 0; failed < 12; failed++) {
                    long delayTicks = ticksUntilResubscription(loadBalancer, actions, now);
                    longestTicks = Math.max(longestTicks, delayTicks);
                    now += delayTicks;
                }
            }
            long sumTicks =
                    EndpointListWatch.SILENCE_TIMEOUT_MILLIS * 10
                            + longestTicks
                            + EndpointListWatch.CONNECT_TIMEOUT_MILLIS * 10;
            assertTrue(
                    sumTicks + RESPONSE_RESERVE_TICKS <= PROPAGATION_LIMIT_TICKS,
                    "ticks for AskWithin " + askWithinTicks + ": " + sumTicks);
        }
        // In automatic mode the watch itself delays its retries: a pushed change counts at once,
        // and
        // a drain is binding after the limit.
        assertTrue(
                EndpointListWatch.SILENCE_TIMEOUT_MILLIS
                                + EndpointListWatch.MAX_RETRY_DELAY_MILLIS
                                + EndpointListWatch.CONNECT_TIMEOUT_MILLIS
                                + RESPONSE_RESERVE_TICKS / 10
                        <= PROPAGATION_LIMIT_TICKS / 10);
    }

    /** All watches end at once when discovery fails; the retries must be spread over time. */
    @Example
    void retriesAfterACommonFailureAreSpreadOverTime() throws Exception {
        int mostRetries = 0;
        List<List<Long>> retryTimesTicks = new ArrayList<>();
        for (int seed = 0; seed < 400; seed++) {
            Settings settings =
                    ProxyConfiguration.read(
                                    config(
                                            settings(256, 1, "")
                                                    .replace(
                                                            "\"AskWithin\":1000000",
                                                            "\"AskWithin\":10000000")))
                            .settings();
            SubscriptionCounter actions = new SubscriptionCounter();
            LoadBalancer loadBalancer = new LoadBalancerFactory(settings).create(actions, seed);
            loadBalancer.start(0);
            List<Long> processTimesTicks = new ArrayList<>();
            for (long now = 0; processTimesTicks.size() < 8; processTimesTicks.add(now)) {
                now += ticksUntilResubscription(loadBalancer, actions, now);
            }
            retryTimesTicks.add(processTimesTicks);
        }
        for (long from = 20_000; from < 24_000; from += 500) {
            int retries = 0;
            for (List<Long> processTimesTicks : retryTimesTicks) {
                for (long at : processTimesTicks) {
                    retries += at >= from && at < from + 500 ? 1 : 0;
                }
            }
            mostRetries = Math.max(mostRetries, retries);
        }
        assertTrue(mostRetries <= 80, "retries of 400 processes within 50 ms: " + mostRetries);
    }

    /**
     * Starts a load balancer's actor and its watch, with the given silence timeout in place of 4 s.
     */
    private LoadBalancerActor startLoadBalancer(
            InetSocketAddress discovery, long silenceTimeoutMillis, RateLimitedLog log)
            throws IOException {
        TickClock clock = new TickClock();
        LoadBalancerActor loadBalancer =
                new LoadBalancerActor(
                        clock,
                        entry ->
                                new BackendActor(
                                        entry.address(), new BackendActors(1_000).resources(0, 4)),
                        new Metrics(),
                        log);
        LoadBalancerFactory factory =
                new LoadBalancerFactory(
                        ProxyConfiguration.read(config(settings(256, 1, ""))).settings());
        EndpointListWatch watch =
                new EndpointListWatch(
                        discovery,
                        new EndpointListParser(log, List.of("z"), List.of("k")),
                        new EndpointListWatch.Options(0, true, silenceTimeoutMillis),
                        loadBalancer,
                        new BufferPool(16, 4),
                        log,
                        new SplittableRandom(1));
        loadBalancer.initialize(
                factory.create(loadBalancer, 1),
                watch,
                new PeerMessenger(null, List.of(), null, loadBalancer::peerMessageReceived, log),
                new ManualEjections(
                        new SharedFile(null, "p", "bans", log),
                        clock,
                        loadBalancer::manualEjectionsChanged));
        loadBalancer.endpointListReceived(new EndpointList(0, true, List.of()), true);
        Thread list = Sockets.start("list", watch);
        Thread actor = Sockets.start("module", loadBalancer);
        open.add(
                () -> {
                    list.interrupt();
                    actor.interrupt();
                    watch.close();
                    list.join(4_000);
                    actor.join(4_000);
                });
        return loadBalancer;
    }

    /** A log that passes its lines to a consumer. */
    private static RateLimitedLog log(Consumer<String> lines) {
        return new RateLimitedLog(
                new System.Logger() {
                    @Override
                    public String getName() {
                        return "test";
                    }

                    @Override
                    public boolean isLoggable(Level level) {
                        return true;
                    }

                    @Override
                    public void log(
                            Level level, ResourceBundle bundle, String text, Throwable thrown) {
                        lines.accept(text);
                    }

                    @Override
                    public void log(
                            Level level, ResourceBundle bundle, String format, Object... params) {
                        lines.accept(format);
                    }
                });
    }

    private static String entry(String id, String health) {
        return "{\"host\":\""
                + id
                + "\",\"dial\":\"127.0.0.1:9\",\"site\":\"z\",\"class\":\"k\",\"block\":0,"
                + "\"health\":\""
                + health
                + "\",\"share\":1.0,\"born_ms\":0}";
    }

    @Example
    void watchIsOpenedAgainAfterAnyFailure() throws Exception {
        RateLimitedLog log = new RateLimitedLog(System.getLogger("test"));
        Map<String, ConnectionHandler> faults =
                Map.of(
                        "no head", socket -> keepOpen(),
                        "half a head",
                                socket -> {
                                    send(socket, HEAD.substring(0, 8));
                                    keepOpen();
                                },
                        "503",
                                socket ->
                                        send(
                                                socket,
                                                "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"),
                        "head, then silence",
                                socket -> {
                                    send(socket, HEAD);
                                    keepOpen();
                                },
                        "trickle",
                                socket -> {
                                    send(socket, HEAD + "{\"seq\":9,");
                                    while (true) {
                                        send(socket, " ");
                                        Thread.sleep(5);
                                    }
                                },
                        "reset in a line",
                                socket -> {
                                    send(socket, HEAD + "{\"seq\":9,\"whole\":true,\"hosts\":[");
                                    socket.setSoLinger(true, 0);
                                },
                        "noise", socket -> send(socket, HEAD + "\u0001}]\n"),
                        "a list, then silence",
                                socket -> {
                                    send(
                                            socket,
                                            HEAD + list(2, true, entry("b1", "active")) + "\n");
                                    keepOpen();
                                },
                        "a list, then the end of the stream",
                                socket -> send(socket, HEAD + list(2, true) + "\n"));
        for (Map.Entry<String, ConnectionHandler> fault : faults.entrySet()) {
            AtomicInteger connections = new AtomicInteger();
            ServerSocket server =
                    startDiscovery(
                            0,
                            socket -> {
                                if (connections.incrementAndGet() <= 3) {
                                    fault.getValue().handle(socket);
                                } else {
                                    send(
                                            socket,
                                            HEAD + list(9, true, entry("b9", "active")) + "\n");
                                    keepOpen();
                                }
                            });
            LoadBalancerActor loadBalancer =
                    startLoadBalancer(
                            new InetSocketAddress(
                                    InetAddress.getLoopbackAddress(), server.getLocalPort()),
                            300,
                            log);
            eventuallyWithin30Seconds(
                    () -> loadBalancer.isListed("b9"), "b9 is listed after: " + fault.getKey());
            assertFalse(loadBalancer.isListed("b1"), fault.getKey());
        }
    }

    @Example
    void watchIsOpenedAgainAfterARefusedOrPendingConnect() throws Exception {
        RateLimitedLog log = new RateLimitedLog(System.getLogger("test"));
        ConnectionHandler sendsList =
                socket -> {
                    send(socket, HEAD + list(9, true, entry("b9", "active")) + "\n");
                    keepOpen();
                };
        Socket reservation = reserveRefusingPort();
        int port = reservation.getLocalPort();
        LoadBalancerActor refused =
                startLoadBalancer(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 300, log);
        refused.awaitProcessed();
        reservation.close();
        startDiscovery(port, sendsList);
        eventually(() -> refused.isListed("b9"), "listed once discovery listens");

        ServerSocket unresponsive = listenWithFullBacklog();
        AtomicInteger connectTimeouts = new AtomicInteger();
        LoadBalancerActor stuck =
                startLoadBalancer(
                        new InetSocketAddress(
                                InetAddress.getLoopbackAddress(), unresponsive.getLocalPort()),
                        300,
                        log(line -> connectTimeouts.addAndGet(line.contains("timed out") ? 1 : 0)));
        // Without a connect timeout the kernel would try for two minutes.
        eventuallyWithin30Seconds(() -> connectTimeouts.get() > 0, "the connect timed out");
        Sockets.start(
                "discovery",
                () -> {
                    try {
                        while (true) {
                            Socket socket = unresponsive.accept();
                            open.add(socket);
                            Sockets.start(
                                    "discovery call",
                                    () -> {
                                        try {
                                            sendsList.handle(socket);
                                        } catch (Exception e) {
                                            // The test is over.
                                        }
                                    });
                        }
                    } catch (IOException e) {
                        // The test is over.
                    }
                });
        eventuallyWithin30Seconds(() -> stuck.isListed("b9"), "listed once discovery accepts");
    }

    /** The settings alone would permit a delay of half a minute after several failures. */
    @Example
    void delayOfRetriesIsBoundedAfterManyFailures() throws Exception {
        CountDownLatch connections = new CountDownLatch(9);
        ServerSocket server = startDiscovery(0, socket -> connections.countDown());
        proxy =
                new Proxy(
                        config(
                                settings(256, server.getLocalPort(), "")
                                        .replace(
                                                "\"AskWithin\":1000000",
                                                "\"AskWithin\":120000000")));
        buffersAtFirst = (64 << 20) / 8 / BufferPool.SIZE;
        // With delays of at most 0.8 s this takes 5.4 s; doubled without a bound, at least 25 s.
        assertTrue(
                connections.await(20, TimeUnit.SECONDS),
                "connections missing: " + connections.getCount());
    }

    /** In automatic mode pushed changes count as delivered even while the watch is closed. */
    @Example
    void automaticWatchIsOpenedAgainWithinTheGracePeriodOfDrains() throws Exception {
        CountDownLatch connections = new CountDownLatch(20);
        ServerSocket server =
                startDiscovery(
                        0,
                        socket -> {
                            connections.countDown();
                            send(socket, HEAD + list(2, true, entry("b", "active")) + "\n");
                        });
        proxy =
                new Proxy(
                        config(
                                settings(256, server.getLocalPort(), "")
                                        .replace("subscribe", "automatic")));
        buffersAtFirst = (64 << 20) / 8 / BufferPool.SIZE;
        // With delays of at most 50 ms this takes 1 s; with 0.5 s or more, at least 9.5 s.
        assertTrue(
                connections.await(8, TimeUnit.SECONDS),
                "connections missing: " + connections.getCount());
    }

    /**
     * An error such as a temporary lack of memory must not end the watch's thread, as no other
     * thread receives the endpoint list.
     */
    @Example
    void watchSurvivesAnError() throws Exception {
        AtomicInteger errors = new AtomicInteger();
        RateLimitedLog log =
                log(
                        line -> {
                            if (line.contains("left out a host") && errors.incrementAndGet() == 1) {
                                throw new OutOfMemoryError("temporary");
                            }
                        });
        ServerSocket server =
                startDiscovery(
                        0,
                        socket -> {
                            send(socket, HEAD + list(9, true, "{}", entry("b9", "active")) + "\n");
                            keepOpen();
                        });
        LoadBalancerActor loadBalancer =
                startLoadBalancer(
                        new InetSocketAddress(
                                InetAddress.getLoopbackAddress(), server.getLocalPort()),
                        4_000,
                        log);
        eventually(() -> loadBalancer.isListed("b9"), "listed by the next watch");
        assertTrue(errors.get() >= 1);
    }

    /**
     * Starts {@code serve} in a process of its own.
     *
     * @param before shell commands to run first
     * @param text the configuration
     * @param output the file to which the process writes its output
     */
    private Process startServe(String before, String text, Path output) throws IOException {
        ProcessBuilder builder =
                new ProcessBuilder(
                        "/bin/sh",
                        "-c",
                        before
                                + "exec "
                                + Path.of(System.getProperty("java.home"), "bin", "java")
                                + " -cp target/classes cottonlock.Main serve");
        builder.environment().put("EDGE_CONFIG", config(text).toString());
        builder.environment().remove("COTTONLOCK_OPERATOR");
        builder.environment().remove("EDGE_MGMT");
        Process process = builder.redirectErrorStream(true).redirectOutput(output.toFile()).start();
        open.add(process::destroyForcibly);
        return process;
    }

    private static boolean healthy(int port) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(8_000);
            send(socket, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
            return status(receive(socket)) == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Like {@link #eventually}, for conditions that need timeouts or other processes. */
    private static void eventuallyWithin30Seconds(Check check, String what) throws Exception {
        long until = System.nanoTime() + 30_000_000_000L;
        while (!check.holds()) {
            assertTrue(System.nanoTime() < until, "in time: " + what);
            Thread.sleep(5);
        }
    }

    // Startup

    @Example
    void ignoredSighupIsLoggedOnceAtStartup() throws Exception {
        for (boolean ignored : new boolean[] {true, false}) {
            Socket reservation = reserveRefusingPort();
            int port = reservation.getLocalPort();
            Path output = Files.createTempFile("serve", ".log");
            output.toFile().deleteOnExit();
            String text = settings(256, 1, "").replace("127.0.0.1:0", "127.0.0.1:" + port);
            reservation.close();
            Process process = startServe(ignored ? "trap '' HUP; " : "", text, output);
            eventuallyWithin30Seconds(() -> healthy(port), "the proxy is healthy");
            if (ignored) {
                eventuallyWithin30Seconds(
                        () -> Files.readString(output).contains("SIGHUP"), "the warning is logged");
            }
            process.destroy();
            assertTrue(process.waitFor(8, TimeUnit.SECONDS));
            List<String> lines =
                    Files.readAllLines(output).stream().filter(l -> l.contains("SIGHUP")).toList();
            assertEquals(ignored ? 1 : 0, lines.size(), lines.toString());
            assertTrue(
                    lines.stream()
                            .allMatch(
                                    l ->
                                            l.startsWith("WARNING signals: ")
                                                    && l.contains("will never be taken in")),
                    lines.toString());
        }
    }

    /**
     * Starts with neither discovery nor backends reachable, and a cached list of 1,024 backends.
     */
    @Example
    void startupWaitsNeitherForDiscoveryNorForALongList() throws Exception {
        ServerSocket unresponsiveDiscovery = listenWithFullBacklog();
        String[] hosts = new String[1_024];
        for (int i = 0; i < hosts.length; i++) {
            hosts[i] = entry("b" + i, "active");
        }
        CountDownLatch ready = new CountDownLatch(1);
        proxy = new Proxy(config(settings(256, unresponsiveDiscovery.getLocalPort(), "", hosts)));
        buffersAtFirst = (64 << 20) / 8 / BufferPool.SIZE;
        Sockets.start(
                "client",
                () -> {
                    if (healthy(proxy.port())) {
                        ready.countDown();
                    }
                });
        assertTrue(ready.await(8, TimeUnit.SECONDS));
    }

    // File descriptors

    private static int openDescriptors(Process process) throws IOException {
        try (Stream<Path> open =
                Files.list(Path.of("/proc", String.valueOf(process.pid()), "fd"))) {
            return (int) open.count();
        }
    }

    /**
     * Everything that may hold file descriptors does so: a steady stream of idle clients, attempts
     * in progress, spill files of long bodies, management connections, and as many open files as a
     * deployment's jars. No descriptor is spare but that of the watch.
     */
    @Example
    void watchAndAttemptsGetSocketsWhileAllDescriptorsAreInUse() throws Exception {
        int maxDescriptors = 128;
        CountDownLatch answer = new CountDownLatch(1);
        StandIn hanging =
                new StandIn(
                        request -> {
                            answer.await(60, TimeUnit.SECONDS);
                            return OK;
                        });
        StandIn responsive = new StandIn(request -> OK);
        Socket[] reservations = {
            reserveRefusingPort(), reserveRefusingPort(), reserveRefusingPort()
        };
        int port = reservations[0].getLocalPort();
        int managementPort = reservations[1].getLocalPort();
        int discoveryPort = reservations[2].getLocalPort();
        String text =
                settings(
                                maxDescriptors,
                                discoveryPort,
                                "\"mgmt\":\"127.0.0.1:" + managementPort + "\",",
                                hanging.host("b0"))
                        .replace("127.0.0.1:0", "127.0.0.1:" + port)
                        .replace("\"memory_mb\":64", "\"memory_mb\":192")
                        .replace("800000", "50000000")
                        .replace("1500000", "50000000");
        reservations[0].close();
        reservations[1].close();
        Path output = Files.createTempFile("serve", ".log");
        output.toFile().deleteOnExit();
        StringBuilder jars = new StringBuilder("ulimit -n " + maxDescriptors + "; exec");
        for (int jar = 3; jar < 9; jar++) {
            jars.append(' ').append(jar).append("</dev/null");
        }
        Process process = startServe(jars + "; ", text, output);
        eventuallyWithin30Seconds(() -> healthy(port), "the proxy is healthy");
        while (open.stream()
                        .filter(o -> o instanceof Socket s && s.getPort() == managementPort)
                        .count()
                < ManagementServer.MAX_CONNECTIONS) {
            eventuallyWithin30Seconds(
                    () -> {
                        try {
                            return open.add(
                                    new Socket(InetAddress.getLoopbackAddress(), managementPort));
                        } catch (IOException e) {
                            // The management server listens a little later than the client
                            // listener.
                            return false;
                        }
                    },
                    "the management server accepts");
        }
        String body = "x".repeat(100_000);
        for (int i = 0; i < maxDescriptors; i++) {
            Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
            open.add(socket);
            // Every fourth has a long body, which needs a spill file while permits are available.
            send(
                    socket,
                    request(
                            "once",
                            "h" + i,
                            "X-Timeout-Ms: 50000\r\n",
                            i % 4 == 0 ? body : "body"));
        }
        CountDownLatch idleClients = new CountDownLatch(2 * maxDescriptors);
        List<Socket> idle = new CopyOnWriteArrayList<>();
        open.add(() -> idle.forEach(Sockets::close));
        Sockets.start(
                "idle clients",
                () -> {
                    try {
                        while (true) {
                            idle.add(new Socket(InetAddress.getLoopbackAddress(), port));
                            idleClients.countDown();
                            Thread.sleep(10);
                        }
                    } catch (IOException | InterruptedException e) {
                        // The test is over.
                    }
                });
        assertTrue(
                idleClients.await(60, TimeUnit.SECONDS),
                "the idle clients connected while discovery was down");
        int descriptorsInUse = openDescriptors(process);
        reservations[2].close();
        CountDownLatch listSent = new CountDownLatch(1);
        startDiscovery(
                discoveryPort,
                socket -> {
                    send(
                            socket,
                            HEAD + list(2, true, hanging.host("b0"), responsive.host("b1")) + "\n");
                    listSent.countDown();
                    keepOpen();
                });
        assertTrue(
                listSent.await(20, TimeUnit.SECONDS),
                "the watch got a socket; open descriptors: " + descriptorsInUse);
        answer.countDown();
        eventuallyWithin30Seconds(
                () -> {
                    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                        socket.setSoTimeout(8_000);
                        send(socket, request("read", "r" + System.nanoTime(), "", ""));
                        return status(receive(socket)) == 200;
                    } catch (IOException e) {
                        // May be closed unread while all connections are in use.
                        return false;
                    }
                },
                "an attempt got a socket");
        assertTrue(descriptorsInUse > maxDescriptors / 2, "open descriptors: " + descriptorsInUse);
        assertFalse(
                Files.readString(output).contains("Too many open files"),
                "the proxy stays within its descriptor limit");
    }

    // Removed and draining backends

    @Example
    void backendMissingFromACompleteListGetsNoMoreRequests() throws Exception {
        String failed = "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n";
        StandIn removed = new StandIn(request -> OK);
        StandIn remaining = new StandIn(request -> OK);
        CountDownLatch sendNewList = new CountDownLatch(1);
        ServerSocket server =
                startDiscovery(
                        0,
                        socket -> {
                            send(
                                    socket,
                                    HEAD
                                            + list(
                                                    2,
                                                    true,
                                                    removed.host("gone"),
                                                    remaining.host("stays"))
                                            + "\n");
                            sendNewList.await();
                            send(socket, list(3, true, remaining.host("stays")) + "\n");
                            keepOpen();
                        });
        proxy =
                new Proxy(
                        config(
                                settings(
                                                256,
                                                server.getLocalPort(),
                                                "",
                                                removed.host("gone"),
                                                remaining.host("stays"))
                                        .replace("800000", "20000000")
                                        .replace("1500000", "20000000")));
        buffersAtFirst = (64 << 20) / 8 / BufferPool.SIZE;
        String longTimeout = "X-Timeout-Ms: 20000\r\n";
        for (int i = 0; i < 20 || removed.requests.isEmpty(); i++) {
            assertEquals(200, status(call(request("read", "a" + i, longTimeout, ""))));
            assertTrue(i < 1_000, "both backends are used at first");
        }
        CountDownLatch answer = new CountDownLatch(1);
        // An attempt that is in progress when the list arrives and fails later: its retry goes to
        // the
        // remaining backend.
        removed.responder =
                request -> {
                    answer.await(60, TimeUnit.SECONDS);
                    return failed;
                };
        for (int i = 1; removed.requests.stream().noneMatch(r -> r.get(0).contains("/once")); i++) {
            assertTrue(i < 100, "an attempt is in progress at the removed backend");
            send(connect(), request("once", "w" + i, longTimeout, "body"));
            int sent = i;
            eventually(
                    () ->
                            Stream.of(removed, remaining)
                                            .flatMap(b -> b.requests.stream())
                                            .filter(r -> r.get(0).contains("/once"))
                                            .count()
                                    == sent,
                    "sent");
        }
        sendNewList.countDown();
        eventuallyWithin30Seconds(
                () -> {
                    // Until the list is applied, requests may still go to the removed backend and
                    // time out.
                    int before = removed.requests.size();
                    boolean all = true;
                    for (int i = 0; i < 20 && all; i++) {
                        String id = "p" + System.nanoTime();
                        all = status(call(request("read", id, "X-Timeout-Ms: 300\r\n", ""))) == 200;
                    }
                    return all && removed.requests.size() == before;
                },
                "the new list is applied");
        int before = removed.requests.size();
        removed.responder = request -> OK;
        answer.countDown();
        for (int i = 0; i < 100; i++) {
            assertEquals(200, status(call(request("read", "z" + i, longTimeout, ""))));
        }
        assertEquals(before, removed.requests.size());
    }

    @Example
    void drainingIsAcceptedFromAnEntryWithAnInvalidField() throws Exception {
        Map<String, String> invalidValues =
                Map.of(
                        "\"share\":1.0",
                        "\"share\":\"much\"",
                        "\"dial\":\"127.0.0.1:9\"",
                        "\"dial\":\"nowhere\"",
                        "\"born_ms\":0",
                        "\"born_ms\":0.5",
                        "\"block\":0",
                        "\"block\":0.5");
        EndpointListParser parser =
                new EndpointListParser(
                        new RateLimitedLog(System.getLogger("test")), List.of("z"), List.of("k"));
        for (Map.Entry<String, String> field : invalidValues.entrySet()) {
            for (String health : List.of("leaving", "left", "active")) {
                String text = entry("b", health).replace(field.getKey(), field.getValue());
                List<EndpointList.Entry> entries =
                        parser.parse(JsonReader.read(list(2, false, text))).entries();
                assertEquals(health.equals("active") ? 0 : 1, entries.size(), text);
                assertTrue(
                        entries.stream()
                                .allMatch(
                                        e ->
                                                e.endpoint().id().equals("b")
                                                        && (e.endpoint().state()
                                                                        == Endpoint.State.READY)
                                                                == health.equals("active")),
                        text);
            }
        }
    }

    /**
     * The connection to the removed backend is established only after the list has arrived: nothing
     * may be sent on it.
     */
    @Example
    void requestWaitingForAConnectIsSentElsewhereWhenItsBackendIsRemoved() throws Exception {
        ServerSocket removed = listenWithFullBacklog();
        StandIn remaining = new StandIn(request -> OK);
        CountDownLatch sendNewList = new CountDownLatch(1);
        ServerSocket server =
                startDiscovery(
                        0,
                        socket -> {
                            sendNewList.await();
                            send(socket, HEAD + list(3, true, remaining.host("stays")) + "\n");
                            keepOpen();
                        });
        String host =
                remaining
                        .host("gone")
                        .replace(
                                ":" + remaining.server.getLocalPort(),
                                ":" + removed.getLocalPort());
        proxy =
                new Proxy(
                        config(
                                settings(256, server.getLocalPort(), "", host)
                                        .replace("800000", "20000000")
                                        .replace("1500000", "20000000")
                                        .replace("150000", "20000000")));
        buffersAtFirst = (64 << 20) / 8 / BufferPool.SIZE;
        Socket socket = connect();
        send(socket, request("once", "held", "X-Timeout-Ms: 20000\r\n", "body"));
        eventually(
                () ->
                        Thread.getAllStackTraces().values().stream()
                                .anyMatch(
                                        trace ->
                                                List.of(trace)
                                                        .toString()
                                                        .matches(
                                                                "(?s).*NioSocketImpl."
                                                                    + "connect.*BackendConnection.run.*")),
                "a connect is pending");
        sendNewList.countDown();
        eventually(
                () -> status(call(request("read", "p" + System.nanoTime(), "", ""))) == 200,
                "the new list is applied");
        // Now the pending connect succeeds.
        AtomicInteger bytes = new AtomicInteger();
        Sockets.start(
                "removed backend",
                () -> {
                    try {
                        while (true) {
                            Socket accepted = removed.accept();
                            open.add(accepted);
                            Sockets.start(
                                    "removed backend connection",
                                    () -> {
                                        try {
                                            while (accepted.getInputStream().read() >= 0) {
                                                bytes.incrementAndGet();
                                            }
                                        } catch (IOException e) {
                                            // The connection has ended.
                                        }
                                    });
                        }
                    } catch (IOException e) {
                        // The test is over.
                    }
                });
        assertEquals(200, status(receive(socket)));
        assertEquals(0, bytes.get(), "bytes received by the removed backend");
        assertEquals(
                1, remaining.requests.stream().filter(r -> r.get(0).contains("/once")).count());
    }
}
