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

/** The list of backends: when it has come, what it does, and what must not keep it away. */
class ListsTest extends ProxyFixture {
    private static final String HEAD = "HTTP/1.1 200 OK\r\n\r\n";

    /** In tenths of a millisecond: by then, what discovery has counts as told. */
    private static final long TOLD = 60_000;

    /** What the sum of all phases leaves for the answer. */
    private static final long ANSWER = 1_500;

    /** What discovery does on a connection behind the call that it has read. */
    private interface Call {
        void on(Socket socket) throws Exception;
    }

    /** Discovery, which comes up at a port; each connection brings one call. */
    private ServerSocket discovery(int port, Call call) throws IOException {
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
                                                // The call's head.
                                            }
                                            call.on(socket);
                                        } catch (Exception e) {
                                            // The call has ended.
                                        }
                                    });
                        }
                    } catch (IOException e) {
                        // The test is over, or discovery is down.
                    }
                });
        return server;
    }

    /** A port at which connections are refused, as long as this is open. */
    private Socket refusing() throws IOException {
        Socket socket = new Socket();
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        open.add(socket);
        return socket;
    }

    /** A listener whose kernel takes no more: what dials it gets no answer until it accepts. */
    private ServerSocket full() throws IOException {
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
        throw new AssertionError("it takes whatever comes");
    }

    private static void hold() throws InterruptedException {
        Thread.sleep(60_000);
    }

    // Told after 6 s

    /** Counts calls for the list, and keeps the time to wake. */
    private static final class Asks implements LoadBalancerActions {
        private int asked;
        private long wakeAt;

        @Override
        public void startAttempt(long req, String backend, long sendBy) {}

        @Override
        public void cancelAttempt(long req, int attempt) {}

        @Override
        public void reject(long req, long comeBack, RejectionReason why) {}

        @Override
        public void fail(long req, RejectionReason why) {}

        @Override
        public void scheduleTimer(long at) {
            wakeAt = at;
        }

        @Override
        public void subscribeEndpointList() {
            asked++;
        }

        @Override
        public void closeIdleConnections(String backend) {}

        @Override
        public void probe(String backend) {}

        @Override
        public void broadcastToPeers(byte[] message) {}

        @Override
        public void log(String line) {}
    }

    /**
     * Tenths of a millisecond from a failure until the next call; the module is woken when it asks.
     */
    private static long pause(LoadBalancer module, Asks asks, long now) {
        int before = asks.asked;
        module.onEndpointListFailed(now);
        long at = now;
        while (asks.asked == before) {
            at = asks.wakeAt;
            module.onTimer(at);
        }
        return at - now;
    }

    @Example
    void allPhasesOfAFailedCallAddUpToLessThanSixSecondsByAnySettings() throws Exception {
        for (String within : List.of("2000000", "10000000", "120000000", "3600000000")) {
            long longest = 0;
            for (int seed = 0; seed < 200; seed++) {
                Settings settings =
                        ProxyConfiguration.read(
                                        config(
                                                settings(256, 1, "")
                                                        .replace(
                                                                "\"AskWithin\":1000000",
                                                                "\"AskWithin\":" + within)))
                                .settings();
                Asks asks = new Asks();
                LoadBalancer module = new LoadBalancerFactory(settings).create(asks, seed);
                module.start(0);
                module.onEndpointList(
                        0,
                        List.of(new Endpoint("b", 0, 0, 0, Endpoint.State.READY, 1, 0)),
                        true,
                        true);
                assertEquals(1, asks.asked, "a new process asks at once");
                long now = 0;
                for (int failed = 0; failed < 12; failed++) {
                    long pause = pause(module, asks, now);
                    longest = Math.max(longest, pause);
                    now += pause;
                }
            }
            long sum =
                    EndpointListWatch.SILENCE_TIMEOUT_MILLIS * 10
                            + longest
                            + EndpointListWatch.CONNECT_TIMEOUT_MILLIS * 10;
            assertTrue(sum + ANSWER <= TOLD, "of " + within + ": " + sum);
        }
        // Where nobody decides when to ask: what is pushed counts at once, and drains bind after
        // that.
        assertTrue(
                EndpointListWatch.SILENCE_TIMEOUT_MILLIS
                                + EndpointListWatch.MAX_RETRY_DELAY_MILLIS
                                + EndpointListWatch.CONNECT_TIMEOUT_MILLIS
                                + ANSWER / 10
                        <= TOLD / 10);
    }

    /** All ask at once when discovery goes; they must not come back together. */
    @Example
    void callersThatFailTogetherComeBackApart() throws Exception {
        int most = 0;
        List<List<Long>> times = new ArrayList<>();
        for (int seed = 0; seed < 400; seed++) {
            Settings settings =
                    ProxyConfiguration.read(
                                    config(
                                            settings(256, 1, "")
                                                    .replace(
                                                            "\"AskWithin\":1000000",
                                                            "\"AskWithin\":10000000")))
                            .settings();
            Asks asks = new Asks();
            LoadBalancer module = new LoadBalancerFactory(settings).create(asks, seed);
            module.start(0);
            List<Long> own = new ArrayList<>();
            for (long now = 0; own.size() < 8; own.add(now)) {
                now += pause(module, asks, now);
            }
            times.add(own);
        }
        for (long from = 20_000; from < 24_000; from += 500) {
            int calls = 0;
            for (List<Long> own : times) {
                for (long at : own) {
                    calls += at >= from && at < from + 500 ? 1 : 0;
                }
            }
            most = Math.max(most, calls);
        }
        assertTrue(most <= 80, "of 400, in 50 ms: " + most);
    }

    /**
     * The module, the watch and what lies between, with a short silence in place of four seconds.
     */
    private LoadBalancerActor chain(InetSocketAddress at, long silence, RateLimitedLog log)
            throws IOException {
        TickClock clock = new TickClock();
        LoadBalancerActor module =
                new LoadBalancerActor(
                        clock,
                        entry ->
                                new BackendActor(
                                        entry.address(),
                                        new ConnectionPermits(4),
                                        new KeepAlivePolicy(),
                                        new ConnectionThreads(),
                                        1_000,
                                        60_000,
                                        BackendActor.SETTLE_NANOS,
                                        new BufferPool(16, 4),
                                        null,
                                        null,
                                        clock,
                                        null,
                                        log),
                        new Metrics(),
                        log);
        LoadBalancerFactory assembly =
                new LoadBalancerFactory(
                        ProxyConfiguration.read(config(settings(256, 1, ""))).settings());
        EndpointListWatch watch =
                new EndpointListWatch(
                        at,
                        new EndpointListParser(log, List.of("z"), List.of("k")),
                        new EndpointListWatch.Options(0, true, silence),
                        module,
                        new BufferPool(16, 4),
                        log,
                        new SplittableRandom(1));
        module.initialize(
                assembly.create(module, 1),
                watch,
                new PeerMessenger(null, List.of(), null, module::peerMessageReceived, log),
                new ManualEjections(
                        new SharedFile(null, "p", "bans", log),
                        clock,
                        module::manualEjectionsChanged));
        module.endpointListReceived(new EndpointList(0, true, List.of()), true);
        Thread list = Sockets.start("list", watch);
        Thread actor = Sockets.start("module", module);
        open.add(
                () -> {
                    list.interrupt();
                    actor.interrupt();
                    watch.close();
                    list.join(4_000);
                    actor.join(4_000);
                });
        return module;
    }

    /** A log whose lines go there. */
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
    void whateverACallComesToItIsFollowedByAnother() throws Exception {
        RateLimitedLog log = new RateLimitedLog(System.getLogger("test"));
        Map<String, Call> faults =
                Map.of(
                        "no head", socket -> hold(),
                        "half a head",
                                socket -> {
                                    send(socket, HEAD.substring(0, 8));
                                    hold();
                                },
                        "503",
                                socket ->
                                        send(
                                                socket,
                                                "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"),
                        "head, then silence",
                                socket -> {
                                    send(socket, HEAD);
                                    hold();
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
                                    hold();
                                },
                        "an end in place of telling",
                                socket -> send(socket, HEAD + list(2, true) + "\n"));
        for (Map.Entry<String, Call> fault : faults.entrySet()) {
            AtomicInteger calls = new AtomicInteger();
            ServerSocket server =
                    discovery(
                            0,
                            socket -> {
                                if (calls.incrementAndGet() <= 3) {
                                    fault.getValue().on(socket);
                                } else {
                                    send(
                                            socket,
                                            HEAD + list(9, true, entry("b9", "active")) + "\n");
                                    hold();
                                }
                            });
            LoadBalancerActor module =
                    chain(
                            new InetSocketAddress(
                                    InetAddress.getLoopbackAddress(), server.getLocalPort()),
                            300,
                            log);
            sometime(() -> module.isListed("b9"), "told behind: " + fault.getKey());
            assertFalse(module.isListed("b1"), fault.getKey());
        }
    }

    @Example
    void aDialThatIsRefusedOrNeverComesUpIsFollowedByAnother() throws Exception {
        RateLimitedLog log = new RateLimitedLog(System.getLogger("test"));
        Call tells =
                socket -> {
                    send(socket, HEAD + list(9, true, entry("b9", "active")) + "\n");
                    hold();
                };
        Socket place = refusing();
        int port = place.getLocalPort();
        LoadBalancerActor refused =
                chain(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 300, log);
        refused.awaitProcessed();
        place.close();
        discovery(port, tells);
        eventually(() -> refused.isListed("b9"), "told once it listens");

        ServerSocket silent = full();
        AtomicInteger ended = new AtomicInteger();
        LoadBalancerActor unanswered =
                chain(
                        new InetSocketAddress(
                                InetAddress.getLoopbackAddress(), silent.getLocalPort()),
                        300,
                        log(line -> ended.addAndGet(line.contains("timed out") ? 1 : 0)));
        // The kernel would try for two minutes.
        sometime(() -> ended.get() > 0, "given up");
        Sockets.start(
                "discovery",
                () -> {
                    try {
                        while (true) {
                            Socket socket = silent.accept();
                            open.add(socket);
                            Sockets.start(
                                    "discovery call",
                                    () -> {
                                        try {
                                            tells.on(socket);
                                        } catch (Exception e) {
                                            // The test is over.
                                        }
                                    });
                        }
                    } catch (IOException e) {
                        // The test is over.
                    }
                });
        sometime(() -> unanswered.isListed("b9"), "told once it accepts");
    }

    /** By settings that let it wait half a minute after some failures. */
    @Example
    void afterManyFailedCallsTheNextIsNoLaterThanAfterAFew() throws Exception {
        CountDownLatch calls = new CountDownLatch(9);
        ServerSocket server = discovery(0, socket -> calls.countDown());
        proxy =
                new Proxy(
                        config(
                                settings(256, server.getLocalPort(), "")
                                        .replace(
                                                "\"AskWithin\":1000000",
                                                "\"AskWithin\":120000000")));
        buffersAtFirst = (64 << 20) / 8 / BufferPool.SIZE;
        // At 0.8 s at most each, 5.4 s; doubled without end, 25 s at least.
        assertTrue(calls.await(20, TimeUnit.SECONDS), "calls left: " + calls.getCount());
    }

    /** Where lists are pushed, what the watch would have told counts whether or not it is open. */
    @Example
    void aPushedWatchThatEndsIsOpenedAgainWithinTheGraceOnDrains() throws Exception {
        CountDownLatch calls = new CountDownLatch(20);
        ServerSocket server =
                discovery(
                        0,
                        socket -> {
                            calls.countDown();
                            send(socket, HEAD + list(2, true, entry("b", "active")) + "\n");
                        });
        proxy =
                new Proxy(
                        config(
                                settings(256, server.getLocalPort(), "")
                                        .replace("subscribe", "automatic")));
        buffersAtFirst = (64 << 20) / 8 / BufferPool.SIZE;
        // At 50 ms at most each, 1 s; with half a second or more, 9.5 s at least.
        assertTrue(calls.await(8, TimeUnit.SECONDS), "calls left: " + calls.getCount());
    }

    /**
     * Memory that is short for a moment, say: the list's thread is the only one that can ever be
     * told.
     */
    @Example
    void anErrorDoesNotEndTheListForGood() throws Exception {
        AtomicInteger errors = new AtomicInteger();
        RateLimitedLog log =
                log(
                        line -> {
                            if (line.contains("left out a host") && errors.incrementAndGet() == 1) {
                                throw new OutOfMemoryError("for a moment");
                            }
                        });
        ServerSocket server =
                discovery(
                        0,
                        socket -> {
                            send(socket, HEAD + list(9, true, "{}", entry("b9", "active")) + "\n");
                            hold();
                        });
        LoadBalancerActor module =
                chain(
                        new InetSocketAddress(
                                InetAddress.getLoopbackAddress(), server.getLocalPort()),
                        4_000,
                        log);
        eventually(() -> module.isListed("b9"), "told by the next call");
        assertTrue(errors.get() >= 1);
    }

    /**
     * A process of serve by this configuration, behind that command of the shell; and what it
     * writes.
     */
    private Process serve(String before, String text, Path output) throws IOException {
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

    /** Waits for longer than for what takes no time of its own. */
    private static void sometime(Check check, String what) throws Exception {
        long until = System.nanoTime() + 30_000_000_000L;
        while (!check.holds()) {
            assertTrue(System.nanoTime() < until, "in time: " + what);
            Thread.sleep(5);
        }
    }

    // Starts

    @Example
    void thatSighupWasIgnoredBeforeTheStartIsSaidOnce() throws Exception {
        for (boolean ignored : new boolean[] {true, false}) {
            Socket place = refusing();
            int port = place.getLocalPort();
            Path output = Files.createTempFile("serve", ".log");
            output.toFile().deleteOnExit();
            String text = settings(256, 1, "").replace("127.0.0.1:0", "127.0.0.1:" + port);
            place.close();
            Process process = serve(ignored ? "trap '' HUP; " : "", text, output);
            sometime(() -> healthy(port), "it has started");
            if (ignored) {
                sometime(() -> Files.readString(output).contains("SIGHUP"), "it is said");
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
     * Nothing that a start could wait for is there: no discovery, no backend, a list of the
     * longest.
     */
    @Example
    void aStartWaitsNeitherForDiscoveryNorForALongList() throws Exception {
        ServerSocket nobody = full();
        String[] hosts = new String[1_024];
        for (int i = 0; i < hosts.length; i++) {
            hosts[i] = entry("b" + i, "active");
        }
        CountDownLatch ready = new CountDownLatch(1);
        proxy = new Proxy(config(settings(256, nobody.getLocalPort(), "", hosts)));
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

    // Descriptors

    private static int descriptors(Process process) throws IOException {
        try (Stream<Path> open =
                Files.list(Path.of("/proc", String.valueOf(process.pid()), "fd"))) {
            return (int) open.count();
        }
    }

    /**
     * All that may hold descriptors does: idle clients that come again and again, attempts that are
     * out, long bodies, operators' calls, and as many as a deployment's jars take. No other than
     * the list's is spare.
     */
    @Example
    void whoeverFillsTheDescriptorsKeepsNeitherTheWatchNorAnAttemptFromItsSocket()
            throws Exception {
        int most = 128;
        CountDownLatch answer = new CountDownLatch(1);
        StandIn hangs =
                new StandIn(
                        request -> {
                            answer.await(60, TimeUnit.SECONDS);
                            return OK;
                        });
        StandIn fresh = new StandIn(request -> OK);
        Socket[] places = {refusing(), refusing(), refusing()};
        int port = places[0].getLocalPort();
        int operators = places[1].getLocalPort();
        int discovery = places[2].getLocalPort();
        String text =
                settings(
                                most,
                                discovery,
                                "\"mgmt\":\"127.0.0.1:" + operators + "\",",
                                hangs.host("b0"))
                        .replace("127.0.0.1:0", "127.0.0.1:" + port)
                        .replace("\"memory_mb\":64", "\"memory_mb\":192")
                        .replace("800000", "50000000")
                        .replace("1500000", "50000000");
        places[0].close();
        places[1].close();
        Path output = Files.createTempFile("serve", ".log");
        output.toFile().deleteOnExit();
        StringBuilder jars = new StringBuilder("ulimit -n " + most + "; exec");
        for (int jar = 3; jar < 9; jar++) {
            jars.append(' ').append(jar).append("</dev/null");
        }
        Process process = serve(jars + "; ", text, output);
        sometime(() -> healthy(port), "it has started");
        while (open.stream().filter(o -> o instanceof Socket s && s.getPort() == operators).count()
                < ManagementServer.MAX_CONNECTIONS) {
            sometime(
                    () -> {
                        try {
                            return open.add(
                                    new Socket(InetAddress.getLoopbackAddress(), operators));
                        } catch (IOException e) {
                            // They are heard a little later than clients.
                            return false;
                        }
                    },
                    "operators are heard");
        }
        String body = "x".repeat(100_000);
        for (int i = 0; i < most; i++) {
            Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
            open.add(socket);
            // Some have a long body, each of which needs a file, for as long as there are any.
            send(
                    socket,
                    request(
                            "once",
                            "h" + i,
                            "X-Timeout-Ms: 50000\r\n",
                            i % 4 == 0 ? body : "body"));
        }
        CountDownLatch crowd = new CountDownLatch(2 * most);
        List<Socket> idle = new CopyOnWriteArrayList<>();
        open.add(() -> idle.forEach(Sockets::close));
        Sockets.start(
                "crowd",
                () -> {
                    try {
                        while (true) {
                            idle.add(new Socket(InetAddress.getLoopbackAddress(), port));
                            crowd.countDown();
                            Thread.sleep(10);
                        }
                    } catch (IOException | InterruptedException e) {
                        // The test is over.
                    }
                });
        assertTrue(crowd.await(60, TimeUnit.SECONDS), "so many have come while discovery was down");
        int filled = descriptors(process);
        places[2].close();
        CountDownLatch told = new CountDownLatch(1);
        discovery(
                discovery,
                socket -> {
                    send(socket, HEAD + list(2, true, hangs.host("b0"), fresh.host("b1")) + "\n");
                    told.countDown();
                    hold();
                });
        assertTrue(told.await(20, TimeUnit.SECONDS), "the watch has its socket, beside " + filled);
        answer.countDown();
        sometime(
                () -> {
                    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                        socket.setSoTimeout(8_000);
                        send(socket, request("read", "r" + System.nanoTime(), "", ""));
                        return status(receive(socket)) == 200;
                    } catch (IOException e) {
                        // Closed unread, as may be while all places are taken.
                        return false;
                    }
                },
                "an attempt has its socket");
        assertTrue(filled > most / 2, "filled: " + filled);
        assertFalse(
                Files.readString(output).contains("Too many open files"),
                "within what it may hold");
    }

    // Gone

    @Example
    void whatAWholeListDoesNotNameGetsNothingMoreAlsoWhereItStillAnswers() throws Exception {
        String failed = "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n";
        StandIn gone = new StandIn(request -> OK);
        StandIn stays = new StandIn(request -> OK);
        CountDownLatch tell = new CountDownLatch(1);
        ServerSocket server =
                discovery(
                        0,
                        socket -> {
                            send(
                                    socket,
                                    HEAD
                                            + list(2, true, gone.host("gone"), stays.host("stays"))
                                            + "\n");
                            tell.await();
                            send(socket, list(3, true, stays.host("stays")) + "\n");
                            hold();
                        });
        proxy =
                new Proxy(
                        config(
                                settings(
                                                256,
                                                server.getLocalPort(),
                                                "",
                                                gone.host("gone"),
                                                stays.host("stays"))
                                        .replace("800000", "20000000")
                                        .replace("1500000", "20000000")));
        buffersAtFirst = (64 << 20) / 8 / BufferPool.SIZE;
        String patient = "X-Timeout-Ms: 20000\r\n";
        for (int i = 0; i < 20 || gone.requests.isEmpty(); i++) {
            assertEquals(200, status(call(request("read", "a" + i, patient, ""))));
            assertTrue(i < 1_000, "both are used at first");
        }
        CountDownLatch answer = new CountDownLatch(1);
        // An attempt that is out as the list comes, and fails after it: its repeat goes elsewhere.
        gone.responder =
                request -> {
                    answer.await(60, TimeUnit.SECONDS);
                    return failed;
                };
        for (int i = 1; gone.requests.stream().noneMatch(r -> r.get(0).contains("/once")); i++) {
            assertTrue(i < 100, "one is out there");
            send(connect(), request("once", "w" + i, patient, "body"));
            int sent = i;
            eventually(
                    () ->
                            Stream.of(gone, stays)
                                            .flatMap(b -> b.requests.stream())
                                            .filter(r -> r.get(0).contains("/once"))
                                            .count()
                                    == sent,
                    "sent");
        }
        tell.countDown();
        sometime(
                () -> {
                    // As long as the list is on its way, some may still go there and get no answer.
                    int before = gone.requests.size();
                    boolean all = true;
                    for (int i = 0; i < 20 && all; i++) {
                        String id = "p" + System.nanoTime();
                        all = status(call(request("read", id, "X-Timeout-Ms: 300\r\n", ""))) == 200;
                    }
                    return all && gone.requests.size() == before;
                },
                "it is told");
        int before = gone.requests.size();
        gone.responder = request -> OK;
        answer.countDown();
        for (int i = 0; i < 100; i++) {
            assertEquals(200, status(call(request("read", "z" + i, patient, ""))));
        }
        assertEquals(before, gone.requests.size());
    }

    @Example
    void thatABackendDrainsIsTakenAlsoFromAnOddEntry() throws Exception {
        Map<String, String> odd =
                Map.of(
                        "\"share\":1.0",
                        "\"share\":\"much\"",
                        "\"dial\":\"127.0.0.1:9\"",
                        "\"dial\":\"nowhere\"",
                        "\"born_ms\":0",
                        "\"born_ms\":0.5",
                        "\"block\":0",
                        "\"block\":0.5");
        EndpointListParser directory =
                new EndpointListParser(
                        new RateLimitedLog(System.getLogger("test")), List.of("z"), List.of("k"));
        for (Map.Entry<String, String> field : odd.entrySet()) {
            for (String health : List.of("leaving", "left", "active")) {
                String text = entry("b", health).replace(field.getKey(), field.getValue());
                List<EndpointList.Entry> entries =
                        directory.parse(JsonReader.read(list(2, false, text))).entries();
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

    /** Its connection comes up only after the list: a dial that was on its way carries nothing. */
    @Example
    void whatWaitsInADialAsTheListLeavesItsBackendOutIsSentElsewhere() throws Exception {
        ServerSocket gone = full();
        StandIn stays = new StandIn(request -> OK);
        CountDownLatch tell = new CountDownLatch(1);
        ServerSocket server =
                discovery(
                        0,
                        socket -> {
                            tell.await();
                            send(socket, HEAD + list(3, true, stays.host("stays")) + "\n");
                            hold();
                        });
        String host =
                stays.host("gone")
                        .replace(":" + stays.server.getLocalPort(), ":" + gone.getLocalPort());
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
                "it dials");
        tell.countDown();
        eventually(
                () -> status(call(request("read", "p" + System.nanoTime(), "", ""))) == 200,
                "it is told");
        // Now the dial comes up.
        AtomicInteger bytes = new AtomicInteger();
        Sockets.start(
                "gone",
                () -> {
                    try {
                        while (true) {
                            Socket up = gone.accept();
                            open.add(up);
                            Sockets.start(
                                    "gone connection",
                                    () -> {
                                        try {
                                            while (up.getInputStream().read() >= 0) {
                                                bytes.incrementAndGet();
                                            }
                                        } catch (IOException e) {
                                            // It has ended.
                                        }
                                    });
                        }
                    } catch (IOException e) {
                        // The test is over.
                    }
                });
        assertEquals(200, status(receive(socket)));
        assertEquals(0, bytes.get(), "bytes that one has read that was gone");
        assertEquals(1, stays.requests.stream().filter(r -> r.get(0).contains("/once")).count());
    }
}
