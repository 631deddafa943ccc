package cottonlock.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cottonlock.admin.Metrics;
import cottonlock.proxy.concurrent.TickClock;
import cottonlock.proxy.discovery.EndpointListParser;
import cottonlock.proxy.discovery.EndpointListWatch;
import cottonlock.proxy.http.BufferPool;
import cottonlock.proxy.http.HttpWriter;
import cottonlock.proxy.io.RateLimitedLog;
import cottonlock.proxy.io.Sockets;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import net.jqwik.api.Example;

/**
 * The races of docs/races.md: each interleaving is forced by a lock that the test holds, or by a
 * peer that reacts to what it reads, never left to timing.
 */
class RacesTest extends ProxyFixture {
    private static final String STRAY = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray";
    private static final String FAILED = "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n";

    private final BackendActors backends = new BackendActors(1_000);
    private final RateLimitedLog log = backends.log;
    private final TickClock clock = backends.clock;
    private final Metrics metrics = backends.metrics;
    private final BufferPool buffers = backends.buffers;
    private final WorkerThreads workers = backends.workers;
    private final WriteTimeoutWatchdog watchdog = new WriteTimeoutWatchdog();

    /** Its thread is never started: messages stay in its mailbox. */
    private final LoadBalancerActor loadBalancer = backends.loadBalancer;

    private static boolean anyConnectionThreadBlocked() {
        return Thread.getAllStackTraces().keySet().stream()
                .anyMatch(
                        t ->
                                t.getName().equals("connection")
                                        && t.getState() == Thread.State.BLOCKED);
    }

    private static boolean isBlocked(Thread thread) {
        return thread.getState() == Thread.State.BLOCKED;
    }

    private Thread drain(long signalledAtNanos) {
        return Sockets.start(
                "drain",
                () -> {
                    try {
                        proxy.drain(signalledAtNanos);
                    } catch (InterruptedException e) {
                        // The test fails because what it expects does not happen.
                    }
                });
    }

    /**
     * Starts the proxy with an expiry of 20 s, so that requests may wait long for their response.
     */
    private void startWithLongTimeouts(StandIn... backends) throws IOException {
        String[] hosts = new String[backends.length];
        for (int i = 0; i < hosts.length; i++) {
            hosts[i] = backends[i].host("b" + i);
        }
        proxy = new Proxy(config(settings(256, 1, "", hosts).replace("1500000", "20000000")));
        buffersAtFirst = (64 << 20) / 8 / BufferPool.SIZE;
    }

    private ClientConnection onlyClient() throws Exception {
        eventually(() -> proxy.listener().clients().size() == 1, "the client is accepted");
        return proxy.listener().clients().iterator().next();
    }

    /**
     * Waits until the last response is complete and the connection's thread waits for the next
     * byte.
     */
    private static ClientConnection awaitIdle(ClientConnection client) throws Exception {
        eventually(
                () ->
                        !client.hasOpenRequest()
                                && Thread.getAllStackTraces().values().stream()
                                        .anyMatch(
                                                trace ->
                                                        List.of(trace)
                                                                .toString()
                                                                .matches(
                                                                        "(?s).*NioSocketImpl."
                                                                            + "*ClientConnection"
                                                                            + ".awaitRequest.*")),
                "the connection is idle");
        return client;
    }

    // Shutdown

    @Example
    void aRequestReadJustBeforeTheInputIsShutDownIsServed() throws Exception {
        StandIn backend = new StandIn(request -> OK);
        start(backend);
        Socket socket = connect();
        send(socket, request("once", "first", "", "body"));
        assertEquals(200, status(receive(socket)));
        ClientConnection client = awaitIdle(onlyClient());
        synchronized (client) {
            send(socket, request("once", "read", "", "body"));
            eventually(RacesTest::anyConnectionThreadBlocked, "read, and not yet recorded");
            client.close();
        }
        String answer = receive(socket);
        assertEquals(200, status(answer));
        assertTrue(answer.contains("Connection: close"), answer);
        assertEquals("", receive(socket));
        assertEquals(2, backend.requests.size());
    }

    @Example
    void drainWaitsForARequestThatHasBeenReadButNotRecorded() throws Exception {
        StandIn backend = new StandIn(request -> OK);
        start(backend);
        Socket socket = connect();
        send(socket, request("once", "first", "", "body"));
        assertEquals(200, status(receive(socket)));
        ClientConnection client = awaitIdle(onlyClient());
        CountDownLatch read = new CountDownLatch(1);
        CountDownLatch proceed = new CountDownLatch(1);
        client.afterReadHook =
                () -> {
                    read.countDown();
                    awaitLatch(proceed);
                };
        send(socket, request("once", "read", "", "body"));
        assertTrue(awaitLatch(read), "read, and not yet recorded");
        AtomicBoolean empty = new AtomicBoolean();
        Thread draining =
                Sockets.start(
                        "drain",
                        () -> {
                            try {
                                // Signalled a second ago: by now it has accepted all that it will
                                // accept.
                                proxy.drain(System.nanoTime() - 1_000_000_000L);
                                empty.set(proxy.listener().clients().isEmpty());
                            } catch (InterruptedException e) {
                                // The test fails because what it expects does not happen.
                            }
                        });
        eventually(client::isInputShutDown, "its input is shut down");
        // Time enough for a drain that ends too early.
        draining.join(200);
        proceed.countDown();
        assertEquals(200, status(receive(socket)));
        draining.join(4_000);
        assertFalse(draining.isAlive(), "it ends once all is answered");
        assertTrue(empty.get(), "it ends no sooner");
    }

    private static boolean awaitLatch(CountDownLatch latch) {
        try {
            return latch.await(8, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            return false;
        }
    }

    @Example
    void connectionsQueuedInTheKernelAreServedWhileDraining() throws Exception {
        CountDownLatch accepted = new CountDownLatch(1);
        CountDownLatch proceed = new CountDownLatch(1);
        ClientListener listener =
                new ClientListener(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        false,
                        50,
                        () -> 50,
                        (socket, from) -> {
                            accepted.countDown();
                            awaitLatch(proceed);
                            return new ClientConnection(
                                    socket,
                                    from,
                                    loadBalancer,
                                    null,
                                    buffers,
                                    null,
                                    new HttpWriter(buffers),
                                    watchdog,
                                    metrics,
                                    log);
                        },
                        workers,
                        log);
        Thread thread = Sockets.start("listener", listener);
        Socket[] sockets = new Socket[6];
        for (int i = 0; i < sockets.length; i++) {
            sockets[i] = new Socket(InetAddress.getLoopbackAddress(), listener.port());
            sockets[i].setSoTimeout(8_000);
            open.add(sockets[i]);
            send(sockets[i], "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
        }
        // One is held between accept and the set of clients, five wait in the kernel's queue.
        assertTrue(accepted.await(8, TimeUnit.SECONDS));
        listener.drain();
        listener.closeIdle();
        assertFalse(listener.isEmpty());
        proceed.countDown();
        for (Socket socket : sockets) {
            String answer = receive(socket);
            assertEquals(200, status(answer));
            assertTrue(answer.contains("Connection: close"), answer);
        }
        eventually(
                () -> {
                    listener.closeIdle();
                    return listener.isEmpty();
                },
                "no connection is left");
        thread.join(4_000);
        assertFalse(thread.isAlive());
        eventually(() -> buffers.available() == 16, "all buffers are back");
    }

    @Example
    void aNewConnectionHasTimeForItsFirstRequest() throws Exception {
        start();
        for (int tries = 0; tries < 20; tries++) {
            long before = System.nanoTime();
            Socket socket = connect();
            ClientConnection client = onlyClient();
            client.close();
            boolean inputShutDown = client.isInputShutDown();
            if (System.nanoTime() - before < 250_000_000L) {
                assertFalse(inputShutDown, "shut down before it could send a request");
                send(socket, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
                assertEquals(200, status(receive(socket)));
                return;
            }
            // The machine was too slow: this try shows nothing.
            socket.close();
            eventually(() -> proxy.listener().clients().isEmpty(), "gone");
        }
        throw new AssertionError("the machine was too slow for each try");
    }

    @Example
    void requestsAcceptedBeforeShutdownAreAnsweredBeforeTheKill() throws Exception {
        StandIn backend = new StandIn(request -> SILENT);
        startWithLongTimeouts(backend);
        Socket socket = connect();
        send(socket, request("once", "stuck", "X-Timeout-Ms: 20000\r\n", "body"));
        eventually(() -> backend.requests.size() == 1, "sent");
        // Signalled 2.4 s ago, it has one second left, and the request has eighteen.
        Thread draining = drain(System.nanoTime() - 2_400_000_000L);
        assertEquals(502, status(receive(socket)));
        draining.join(4_000);
        assertFalse(draining.isAlive());
    }

    @Example
    void signalsDuringStartupAreHandledOnceItServes() throws Exception {
        StandIn discovery = new StandIn(request -> SILENT);
        CountDownLatch proceed = new CountDownLatch(1);
        StandIn backend =
                new StandIn(
                        request -> {
                            awaitLatch(proceed);
                            return OK;
                        });
        Path fifo = Files.createTempDirectory("races").resolve("config");
        assertEquals(0, new ProcessBuilder("mkfifo", fifo.toString()).start().waitFor());
        ProcessBuilder builder =
                new ProcessBuilder(
                        // Under nohup, SIGHUP would be ignored and this test would pass.
                        "env",
                        "--default-signal=HUP",
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        "target/classes",
                        "cottonlock.Main",
                        "serve");
        builder.environment().put("EDGE_CONFIG", fifo.toString());
        builder.environment().remove("COTTONLOCK_OPERATOR");
        Process process =
                builder.redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .start();
        open.add(process::destroyForcibly);
        String text =
                settings(256, discovery.server.getLocalPort(), "", backend.host("b0"))
                        .replace("1500000", "20000000");
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        text = text.replace("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"127.0.0.1:" + port + "\"");
        // Opening it for writing waits until the process reads it, which is in the middle of its
        // start.
        try (var out = Files.newOutputStream(fifo)) {
            assertEquals(0, signal("HUP", process));
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        }
        eventually(() -> discovery.requests.size() > 0, "it serves");
        // Handled only now: the process reads its configuration again, else no reader would open
        // the other end.
        String again = text;
        CountDownLatch read = new CountDownLatch(1);
        Sockets.start(
                "configuration",
                () -> {
                    try {
                        Files.writeString(fifo, again);
                        read.countDown();
                    } catch (IOException e) {
                        // The test fails below.
                    }
                });
        assertTrue(read.await(8, TimeUnit.SECONDS), "SIGHUP is handled");
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(8_000);
            send(socket, request("once", "held", "X-Timeout-Ms: 20000\r\n", "body"));
            eventually(() -> backend.requests.size() == 1, "it is sent");
            for (String name : List.of("TERM", "TERM", "HUP")) {
                assertEquals(0, signal(name, process));
            }
            // Time enough for a process that ends too early.
            assertFalse(process.waitFor(300, TimeUnit.MILLISECONDS));
            proceed.countDown();
            assertEquals(200, status(receive(socket)));
        }
        assertTrue(process.waitFor(8, TimeUnit.SECONDS));
        assertEquals(143, process.exitValue());
    }

    private static int signal(String name, Process process) throws Exception {
        return new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid()))
                .start()
                .waitFor();
    }

    // Lists

    private EndpointListWatch watch(StandIn at, long silenceTimeoutMillis) throws IOException {
        EndpointListWatch watch =
                new EndpointListWatch(
                        BackendActors.address(at),
                        new EndpointListParser(log, List.of("z"), List.of("k")),
                        new EndpointListWatch.Options(7, true, silenceTimeoutMillis),
                        loadBalancer,
                        buffers,
                        log,
                        new SplittableRandom(1));
        Thread thread = Sockets.start("list", watch);
        open.add(
                () -> {
                    thread.interrupt();
                    watch.close();
                    thread.join(4_000);
                });
        return watch;
    }

    @Example
    void aMoveBetweenTwoWatchesRequestsTheCompleteList() throws Exception {
        StandIn old = new StandIn(request -> "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
        StandIn now = new StandIn(request -> SILENT);
        EndpointListWatch watch = watch(old, 4_000);
        watch.request();
        eventually(() -> old.requests.size() == 1, "the old address is asked");
        assertTrue(old.requests.get(0).get(0).contains("index=7 "));
        // Refused there, it waits until the load balancer asks again.
        eventually(watch::awaitsRequest, "between two watches");
        watch.move(BackendActors.address(now));
        eventually(() -> now.requests.size() == 1, "the new address is asked");
        assertTrue(now.requests.get(0).get(0).contains("index=0 "), now.requests.get(0).get(0));
    }

    @Example
    void aWatchThatTricklesTimesOut() throws Exception {
        String head = "HTTP/1.1 200 OK\r\n";
        for (String before : List.of(head, head + "\r\n" + list(8, true) + "\n{\"seq\":9,")) {
            CountDownLatch ended = new CountDownLatch(1);
            StandIn trickles = new StandIn(request -> SILENT);
            trickles.responder =
                    request -> {
                        Socket socket = trickles.sockets.get(trickles.sockets.size() - 1);
                        send(socket, before);
                        try {
                            while (true) {
                                // Far more than 16 bytes a second: no pause, but nothing complete
                                // either.
                                send(socket, "x");
                                Thread.sleep(10);
                            }
                        } catch (IOException e) {
                            ended.countDown();
                            return CLOSE;
                        }
                    };
            watch(trickles, 300).request();
            assertTrue(ended.await(8, TimeUnit.SECONDS), "ended behind " + before);
        }
    }

    @Example
    void anIndentedListIsRead() throws Exception {
        StandIn backend = new StandIn(request -> OK);
        String host = backend.host("b{\\\"0").replace(",", ",\n    ").replace("{\"", "{\n    \"");
        StandIn discovery =
                new StandIn(
                        request ->
                                "HTTP/1.1 200 OK\r\n\r\n{\n  \"seq\": 2,\n"
                                        + "  \"whole\": true,\n  \"hosts\": [\n    "
                                        + host
                                        + "\n  ]\n}\n\n");
        start(256, discovery.server.getLocalPort(), "");
        eventually(
                () -> status(call(request("read", "i" + System.nanoTime(), "", ""))) == 200,
                "the backend is known");
    }

    // Attempts under way

    /** The attempt is held in the mailbox until the actor is given a thread. */
    @Example
    void aQueuedAttemptIsWrittenOnlyIfItStillMayBe() throws Exception {
        StandIn backend = new StandIn(request -> FAILED);
        long later = clock.now() + 100_000;
        for (int kind = 0; kind < 4; kind++) {
            BackendActors own = new BackendActors(1_000);
            BackendActor actor = own.actor(backend, BackendActor.SETTLE_NANOS);
            BackendActors.Sent sent = backends.attempt(actor, kind == 1 ? clock.now() : later);
            if (kind == 2) {
                actor.setReady(false);
            }
            if (kind == 3) {
                // Its client has left.
                assertTrue(sent.request().claim());
            }
            own.executor.release();
            eventually(sent.attempt()::isSettled, "settled");
            assertEquals(1, backend.requests.size(), "only the first may be sent");
            own.open.close();
            eventually(() -> own.buffers.available() == 16, "all its buffers are back");
            if (kind != 3) {
                assertTrue(sent.request().claim());
            }
        }
        eventually(() -> buffers.available() == 16, "all buffers are back");
    }

    /**
     * Guards against attempts that held their backend's actor up, 20 ms each, while no permit for a
     * connection was free: all messages behind them waited.
     */
    @Example
    void attemptsThatWaitForAPermitHoldUpNothingBehindThem() throws Exception {
        StandIn backend = new StandIn(request -> FAILED);
        BackendActor actor = backends.actor(backend, BackendActor.SETTLE_NANOS, 0);
        List<BackendActors.Sent> waiting = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            waiting.add(backends.attempt(actor, Long.MAX_VALUE));
        }
        AtomicInteger settledBefore = new AtomicInteger();
        CountDownLatch processed = new CountDownLatch(1);
        actor.runAfterPending(
                () -> {
                    waiting.forEach(
                            sent -> settledBefore.addAndGet(sent.attempt().isSettled() ? 1 : 0));
                    processed.countDown();
                });
        backends.executor.release();
        assertTrue(processed.await(4, TimeUnit.SECONDS));
        assertTrue(settledBefore.get() < waiting.size(), "they were waited for in turn");
        for (BackendActors.Sent sent : waiting) {
            eventually(sent.attempt()::isSettled, "given up");
            assertTrue(sent.request().claim());
        }
        assertEquals(0, backend.requests.size());
        backends.open.close();
        eventually(() -> buffers.available() == 16, "all buffers are back");
    }

    /** Until its first attempt an actor has no thread that would process its messages. */
    @Example
    void updatesBeforeTheFirstAttemptNeitherFillTheMailboxNorAreLost() throws Exception {
        StandIn old = new StandIn(request -> CLOSE);
        StandIn now = new StandIn(request -> FAILED);
        BackendActor actor = backends.actor(old, BackendActor.SETTLE_NANOS);
        for (int i = 0; i < 5_000; i++) {
            actor.closeIdleConnections();
            actor.addressChanged(BackendActors.address(i % 2 == 0 ? old : now));
        }
        BackendActors.Sent sent = backends.attempt(actor, Long.MAX_VALUE);
        backends.executor.release();
        eventually(sent.attempt()::isSettled, "settled");
        assertEquals(1, now.requests.size());
        assertEquals(0, old.requests.size());
        backends.open.close();
        assertTrue(sent.request().claim());
        eventually(() -> buffers.available() == 16, "all buffers are back");
    }

    // Idle connections to backends

    @Example
    void anUnsolicitedResponseIsNotTakenForThatOfTheNextAttempt() throws Exception {
        StandIn backend = new StandIn(request -> FAILED);
        BackendActor actor = backends.actor(backend, BackendActor.SETTLE_NANOS);
        BackendActors.Sent first = backends.attempt(null, Long.MAX_VALUE);
        BackendConnection connection =
                new BackendConnection(
                        actor,
                        BackendActors.address(backend),
                        backends.resources(BackendActor.SETTLE_NANOS, 0),
                        first.attempt());
        Thread thread = Sockets.thread("connection", connection);
        thread.start();
        eventually(
                () ->
                        first.attempt().isSettled()
                                && List.of(thread.getStackTrace())
                                        .toString()
                                        .matches(
                                                "(?s).*NioSocketImpl.*HttpReader.awaitSingleByte.*"),
                "the connection is idle");
        BackendActors.Sent next = backends.attempt(null, Long.MAX_VALUE);
        synchronized (connection) {
            send(backend.sockets.get(0), STRAY);
            eventually(() -> isBlocked(thread), "read, and not yet checked");
            assertTrue(next.attempt().attach(connection));
            assertFalse(connection.send(next.attempt()), "something lies there already");
        }
        thread.join(4_000);
        assertFalse(next.attempt().isSettled(), "it may be sent on another connection");
        assertEquals(1, backend.requests.size());
        assertTrue(first.request().claim() && next.request().claim());
        eventually(() -> buffers.available() == 16, "all buffers are back");
    }

    /**
     * It arrives while the connection settles, which takes eight seconds here, so that no machine
     * is too slow.
     */
    @Example
    void aLateDuplicateResponseIsNotTakenForThatOfTheNextAttempt() throws Exception {
        StandIn backend = new StandIn(request -> FAILED);
        BackendActor actor = backends.actor(backend, 8_000_000_000L);
        backends.executor.release();
        BackendActors.Sent first = backends.attempt(actor, Long.MAX_VALUE);
        eventually(
                () ->
                        first.attempt().isSettled()
                                && Thread.getAllStackTraces().values().stream()
                                        .anyMatch(
                                                t ->
                                                        List.of(t)
                                                                .toString()
                                                                .matches(
                                                                        "(?s).*NioSocketImpl."
                                                                            + "*HttpReader"
                                                                            + ".awaitSingleByte.*")),
                "the connection is idle");
        BackendActors.Sent next = backends.attempt(actor, Long.MAX_VALUE);
        CountDownLatch queued = new CountDownLatch(1);
        actor.runAfterPending(queued::countDown);
        assertTrue(awaitLatch(queued), "the attempt has been processed");
        send(backend.sockets.get(0), STRAY);
        eventually(next.attempt()::isSettled, "sent, as no connection is settling any more");
        assertEquals(2, backend.requests.size());
        assertEquals(2, backend.sockets.size(), "each on a connection of its own");
        backends.open.close();
        assertTrue(first.request().claim() && next.request().claim());
        eventually(() -> buffers.available() == 16, "all buffers are back");
    }

    // Clients that disconnect

    @Example
    void aDisconnectIsNoticedAlsoAfterFurtherInput() throws Exception {
        StandIn backend = new StandIn(request -> SILENT);
        startWithLongTimeouts(backend);
        String more = request("once", "second", "", "body");
        for (String behind : List.of("", more, more.repeat(100), "x")) {
            for (boolean reset : new boolean[] {false, true}) {
                int before = backend.requests.size();
                Socket socket = connect();
                send(socket, request("once", "first" + before, "X-Timeout-Ms: 20000\r\n", "body"));
                eventually(
                        () -> backend.requests.size() == before + 1,
                        "sent to a backend that doesn't answer");
                send(socket, behind);
                socket.setSoLinger(reset, 0);
                socket.close();
                eventually(
                        () -> proxy.listener().clients().isEmpty(),
                        "noticed behind " + behind.length());
            }
        }
        assertEquals(8, backend.requests.size());
    }

    @Example
    void aPipelinedRequestWaitsForTheFirstResponse() throws Exception {
        CountDownLatch proceed = new CountDownLatch(1);
        StandIn backend = backendThatWaits(proceed);
        start(backend);
        Socket socket = connect();
        send(socket, request("once", "first", "", "body") + request("once", "second", "", "body"));
        eventually(() -> backend.requests.size() == 1, "the first is sent");
        proceed.countDown();
        assertEquals(200, status(receive(socket)));
        assertEquals(200, status(receive(socket)));
        assertEquals(2, backend.requests.size());
    }

    /** Guards against input that is dropped, or taken for another request, behind a request. */
    @Example
    void inputBehindARequestIsKeptAndServedInOrder() throws Exception {
        CountDownLatch proceed = new CountDownLatch(1);
        StandIn backend = backendThatWaits(proceed);
        start(backend);
        Socket socket = connect();
        send(socket, request("once", "first", "", "body"));
        eventually(() -> backend.requests.size() == 1, "the first is sent");
        String flood = request("once", "flood", "X-Timeout-Ms: 8000\r\n", "body").repeat(200);
        send(socket, flood);
        Thread.sleep(100);
        proceed.countDown();
        for (int i = 0; i <= 200; i++) {
            String answer = receive(socket);
            assertEquals(200, status(answer), "answer " + i);
            assertTrue(!answer.contains("Connection: close"), answer);
        }
        assertEquals(201, backend.requests.size());
        backend.requests.forEach(request -> assertEquals("body", request.get(request.size() - 1)));
        send(socket, request("once", "last", "", "body"));
        assertEquals(200, status(receive(socket)));
    }

    // Bad input

    private static long descriptors() throws IOException {
        try (Stream<Path> open = Files.list(Path.of("/proc/self/fd"))) {
            return open.count();
        }
    }

    private static long threads() {
        return Thread.getAllStackTraces().keySet().stream()
                .filter(t -> t.isAlive() && t.getName().equals("connection"))
                .count();
    }

    /**
     * Does to a backend's socket what the request's id names; returns the response that is left to
     * send.
     */
    private static String respondBadly(String id, Socket socket) throws Exception {
        String own = "HTTP/1.1 200 OK\r\nContent-Length: " + id.length() + "\r\n\r\n" + id;
        switch (id.replaceAll("[0-9]", "")) {
            case "noise" -> send(socket, "\u0001\u0002 no answer\r\n\r\n");
            case "half" -> send(socket, own.substring(0, 30));
            case "twice" -> {
                send(socket, own);
                Thread.sleep(2);
                return own;
            }
            case "reset" -> {
                send(socket, "HTTP/1.1 200 OK\r\n\r\nno length");
                socket.setSoLinger(true, 0);
                socket.close();
            }
            case "endless" -> {
                send(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                String chunk = "1000\r\n" + "x".repeat(4096) + "\r\n";
                while (true) {
                    send(socket, chunk);
                }
            }
            default -> {
                return own;
            }
        }
        return CLOSE;
    }

    @Example
    void badInputLeaksNothingAndAffectsNoOtherClient() throws Exception {
        StandIn backend = new StandIn(request -> CLOSE);
        backend.responder =
                request ->
                        respondBadly(
                                field(request, "X-Request-ID", ""),
                                backend.sockets.get(backend.sockets.size() - 1));
        start(backend);
        long descriptors = 0;
        long threads = 0;
        for (int round = 0; round < 8; round++) {
            for (String kind : List.of("noise", "half", "reset", "twice", "fine")) {
                String id = kind + round;
                String answer = call(request("read", id, "", ""));
                boolean good = kind.equals("twice") || kind.equals("fine");
                assertEquals(good, status(answer) == 200, id + ": " + answer);
                assertEquals(good, answer.endsWith("\r\n\r\n" + id), id + ": " + answer);
            }
            try (Socket endless = connect()) {
                send(endless, request("read", "endless" + round, "", ""));
                assertEquals('H', endless.getInputStream().read());
            }
            try (Socket flood = connect()) {
                send(flood, "\u0000".repeat(100_000));
            } catch (IOException e) {
                // The connection was closed before all was sent.
            }
            try (Socket half = connect()) {
                send(half, request("once", "h", "", "body").substring(0, 60));
            }
            assertTrue(call(request("read", "fine" + round, "", "")).endsWith("fine" + round));
            if (round == 0) {
                eventually(
                        () -> proxy.listener().clients().isEmpty(),
                        "all clients have disconnected");
                descriptors = descriptors();
                threads = threads();
            }
        }
        long most = descriptors + 4;
        eventually(
                () -> proxy.listener().clients().isEmpty() && descriptors() <= most,
                "descriptors are back");
        long mostThreads = threads + 2;
        eventually(() -> threads() <= mostThreads, "threads are back");
    }

    /** Reads the next byte; -1 also for a reset, which unread bytes cause. */
    private static int readNextByte(Socket socket) {
        try {
            InputStream in = socket.getInputStream();
            return in.read();
        } catch (IOException e) {
            return -1;
        }
    }
}
