package cottonlock.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cottonlock.admin.Metrics;
import cottonlock.proxy.concurrent.TickClock;
import cottonlock.proxy.control.ProxyConfiguration;
import cottonlock.proxy.http.BufferPool;
import cottonlock.proxy.http.HttpWriter;
import cottonlock.proxy.io.RateLimitedLog;
import cottonlock.proxy.io.Sockets;
import cottonlock.setup.LoadBalancerFactory;
import cottonlock.setup.Settings;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import net.jqwik.api.Example;

/**
 * Guards against requests that are sent on after their clients have closed the connection. Each
 * place of docs/races.md, Clients that leave, where a request can wait is held open while its
 * client disconnects.
 */
class ClientsThatLeaveTest extends ProxyFixture {
    private static final String FAILED = "HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n";

    /** More than is discarded before a client's input is not read any more. */
    private static final int FLOOD_BYTES = 320 << 10;

    /** The stack of a thread that waits on an idle connection to a backend. */
    private static final String IDLE_CONNECTION = "NioSocketImpl.*HttpReader.awaitSingleByte";

    private final BackendActors backends = new BackendActors(8_000);
    private final RateLimitedLog log = backends.log;
    private final TickClock clock = backends.clock;
    private final Metrics metrics = backends.metrics;
    private final BufferPool buffers = backends.buffers;
    private final WorkerThreads workers = backends.workers;
    private final WriteTimeoutWatchdog watchdog = new WriteTimeoutWatchdog();

    /** Its thread is never started: messages stay in its mailbox. */
    private final LoadBalancerActor loadBalancer = backends.loadBalancer;

    private BackendActors.Sent attempt(BackendActor actor) throws Exception {
        return backends.attempt(actor, Long.MAX_VALUE);
    }

    private BackendConnection connection(StandIn backend, BackendActors.Sent first) {
        return new BackendConnection(
                backends.actor(backend, 0),
                BackendActors.address(backend),
                backends.resources(0, 0),
                first.attempt());
    }

    private static boolean anyThreadIn(String where) {
        return Thread.getAllStackTraces().values().stream()
                .anyMatch(trace -> List.of(trace).toString().matches("(?s).*" + where + ".*"));
    }

    private static boolean awaitLatch(CountDownLatch latch) {
        try {
            return latch.await(8, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            // An actor that is held here must end with its proxy, also when the test has failed.
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /**
     * Starts the proxy with an expiry of 20 s and a latency objective of 80 s, so that requests may
     * wait long; as in the first tier, the load balancer's queue holds requests for long.
     */
    private void startWithLongTimeouts(StandIn... backends) throws IOException {
        String[] hosts = new String[backends.length];
        for (int i = 0; i < hosts.length; i++) {
            hosts[i] = backends[i].host("b" + i);
        }
        proxy =
                new Proxy(
                        config(
                                settings(256, 1, "", hosts)
                                        .replace("1500000", "20000000")
                                        .replace("800000", "80000000")
                                        .replace("\"Stage\":1", "\"Stage\":0")));
        buffersAtFirst = (64 << 20) / 8 / BufferPool.SIZE;
    }

    private static String longTimeoutRequest(String category, String id) {
        return request(
                category, id, "X-Timeout-Ms: 20000\r\n", category.equals("read") ? "" : "body");
    }

    private ClientConnection onlyClient() throws Exception {
        eventually(() -> proxy.listener().clients().size() == 1, "the client is accepted");
        return proxy.listener().clients().iterator().next();
    }

    /** Waits until the load balancer has processed all messages sent so far. */
    private void awaitLoadBalancer() {
        proxy.loadBalancer().awaitProcessed();
    }

    private void disconnect(Socket socket, boolean reset, int remainingClients) throws Exception {
        socket.setSoLinger(reset, 0);
        socket.close();
        eventually(
                () -> proxy.listener().clients().size() == remainingClients,
                "its disconnect is noticed");
        awaitLoadBalancer();
    }

    // Before an attempt

    /**
     * Sends eight requests, more than the only backend's capacity, which is four, and then {@code
     * waiting} more, which wait in the load balancer's queue. When this returns, the load
     * balancer's thread is stalled until {@code proceed} is counted down.
     */
    private List<Socket> fillBackend(int waiting, CountDownLatch proceed) throws Exception {
        for (int i = 0; i < 6; i++) {
            // Without earlier responses, no request is queued.
            assertEquals(200, status(call(longTimeoutRequest("read", "quick" + i))));
        }
        eventually(() -> proxy.listener().clients().isEmpty(), "they have disconnected");
        CountDownLatch received = new CountDownLatch(1);
        CountDownLatch decided = new CountDownLatch(1);
        proxy.loadBalancer().stall(() -> awaitLatch(received));
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < 8 + waiting; i++) {
            Socket socket = connect();
            send(socket, longTimeoutRequest("read", "held" + i));
            sockets.add(socket);
            eventually(
                    () ->
                            proxy.listener().clients().size() == sockets.size()
                                    && proxy.listener().clients().stream()
                                            .allMatch(ClientConnection::hasOpenRequest),
                    "accepted");
        }
        proxy.loadBalancer()
                .stall(
                        () -> {
                            decided.countDown();
                            awaitLatch(proceed);
                        });
        received.countDown();
        assertTrue(awaitLatch(decided), "decided");
        return sockets;
    }

    private static List<String> ids(StandIn backend) {
        return backend.requests.stream()
                .map(request -> field(request, "X-Request-ID", ""))
                .toList();
    }

    private static boolean isQuick(List<String> request) {
        return field(request, "X-Request-ID", "").startsWith("quick");
    }

    @Example
    void whileItWaitsForCapacity() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        StandIn backend =
                new StandIn(request -> isQuick(request) || awaitLatch(answer) ? OK : CLOSE);
        startWithLongTimeouts(backend);
        CountDownLatch proceed = new CountDownLatch(1);
        List<Socket> sockets = fillBackend(12, proceed);
        while (sockets.size() > 8) {
            sockets.remove(sockets.size() - 1).close();
        }
        eventually(() -> proxy.listener().clients().size() == 8, "their disconnects are noticed");
        answer.countDown();
        proceed.countDown();
        for (Socket socket : sockets) {
            assertEquals(200, status(receive(socket)));
        }
        for (int i = 0; i < 4; i++) {
            assertEquals(
                    200,
                    status(call(longTimeoutRequest("read", "quick-after" + i))),
                    "they hold no capacity");
        }
        assertEquals(18, backend.requests.size(), "sent though they had left: " + ids(backend));
    }

    /** After so much input a client is not read before its response, and might leave unnoticed. */
    @Example
    void whileItWaitsForCapacityBeforeAFlood() throws Exception {
        CountDownLatch answer = new CountDownLatch(1);
        StandIn backend =
                new StandIn(request -> isQuick(request) || awaitLatch(answer) ? OK : CLOSE);
        startWithLongTimeouts(backend);
        CountDownLatch proceed = new CountDownLatch(1);
        List<Socket> sockets = fillBackend(1, proceed);
        flood(sockets.remove(8));
        eventually(
                () -> anyThreadIn("Object.wait.*ClientConnection.awaitResponse"),
                "its input is not read any more");
        long since = clock.now();
        eventually(() -> clock.now() - since > 1_000, "more than 0.1 s have passed");
        CountDownLatch released = new CountDownLatch(1);
        proxy.loadBalancer().stall(() -> awaitLatch(released));
        proceed.countDown();
        eventually(
                () ->
                        proxy.listener().clients().stream()
                                        .filter(ClientConnection::hasOpenRequest)
                                        .count()
                                == 8,
                "answered at once, before any attempt ended");
        answer.countDown();
        released.countDown();
        for (Socket socket : sockets) {
            assertEquals(200, status(receive(socket)));
        }
        eventually(
                () ->
                        proxy.listener().clients().stream()
                                .noneMatch(ClientConnection::hasOpenRequest),
                "answered");
        assertEquals(200, status(call(longTimeoutRequest("read", "quick-after"))));
        assertEquals(
                15, backend.requests.size(), "sent though it might have left: " + ids(backend));
    }

    @Example
    void inTheMailboxOfTheLoadBalancer() throws Exception {
        StandIn backend = new StandIn(request -> OK);
        startWithLongTimeouts(backend);
        for (boolean reset : new boolean[] {false, true}) {
            CountDownLatch proceed = new CountDownLatch(1);
            proxy.loadBalancer().stall(() -> awaitLatch(proceed));
            Socket socket = connect();
            send(socket, longTimeoutRequest("read", "gone"));
            eventually(() -> onlyClient().hasOpenRequest(), "read completely");
            socket.setSoLinger(reset, 0);
            socket.close();
            eventually(() -> proxy.listener().clients().isEmpty(), "its disconnect is noticed");
            proceed.countDown();
            awaitLoadBalancer();
        }
        assertEquals(200, status(call(longTimeoutRequest("read", "after"))));
        assertEquals(1, backend.requests.size());
        assertEquals(
                1, backend.sockets.size(), "no connection was opened for clients that had left");
    }

    @Example
    void inTheMailboxOfItsBackend() throws Exception {
        StandIn backend = new StandIn(request -> FAILED);
        BackendActor actor = backends.actor(backend, 0);
        BackendActors.Sent gone = attempt(actor);
        BackendActors.Sent stays = attempt(actor);
        assertTrue(gone.request().claim());
        backends.executor.release();
        eventually(() -> gone.attempt().isSettled() && stays.attempt().isSettled(), "settled");
        assertEquals(1, backend.requests.size());
        assertEquals(
                1, backend.sockets.size(), "no connection was opened for a client that had left");
        backends.open.close();
        assertTrue(stays.request().claim());
        eventually(() -> buffers.available() == 16, "all buffers are back");
    }

    /**
     * The connection is open, and the buffer that it needs is withheld until the client has left.
     */
    @Example
    void whileItsConnectionIsBeingOpened() throws Exception {
        StandIn backend = new StandIn(request -> FAILED);
        for (boolean leaves : new boolean[] {true, false}) {
            BackendActors.Sent sent = attempt(null);
            List<byte[]> taken = new ArrayList<>();
            while (buffers.available() > 0) {
                taken.add(buffers.take());
            }
            Thread thread = Sockets.start("connection", connection(backend, sent));
            eventually(() -> anyThreadIn("BufferPool.take.*BackendConnection.run"), "connected");
            if (leaves) {
                assertTrue(sent.request().claim());
            }
            taken.forEach(buffers::give);
            eventually(sent.attempt()::isSettled, "settled");
            assertEquals(leaves ? 0 : 1, backend.requests.size());
            backend.sockets.forEach(Sockets::close);
            thread.join(4_000);
            assertTrue(leaves || sent.request().claim());
        }
        eventually(() -> buffers.available() == 16, "all buffers are back");
    }

    /** A connection is idle, and a duplicate response may still arrive on it. */
    @Example
    void whileAConnectionSettles() throws Exception {
        StandIn backend = new StandIn(request -> FAILED);
        BackendActor actor = backends.actor(backend, 8_000_000_000L);
        backends.executor.release();
        BackendActors.Sent first = attempt(actor);
        eventually(
                () -> first.attempt().isSettled() && anyThreadIn(IDLE_CONNECTION),
                "the connection is idle");
        BackendActors.Sent next = attempt(actor);
        CountDownLatch queued = new CountDownLatch(1);
        actor.runAfterPending(queued::countDown);
        assertTrue(awaitLatch(queued), "the attempt has been processed");
        assertTrue(next.request().claim());
        send(backend.sockets.get(0), FAILED);
        eventually(next.attempt()::isSettled, "settled, as no connection is settling any more");
        assertEquals(1, backend.requests.size());
        assertEquals(
                1, backend.sockets.size(), "no connection was opened for a client that had left");
        backends.open.close();
        assertTrue(first.request().claim());
        eventually(() -> buffers.available() == 16, "all buffers are back");
    }

    /** Held between the decision to write and the first byte. */
    @Example
    void whileItsWriteWaitsForABuffer() throws Exception {
        StandIn backend = new StandIn(request -> FAILED);
        for (boolean leaves : new boolean[] {true, false}) {
            BackendActors.Sent first = attempt(null);
            BackendConnection connection = connection(backend, first);
            Thread thread = Sockets.start("connection", connection);
            eventually(
                    () -> first.attempt().isSettled() && anyThreadIn(IDLE_CONNECTION),
                    "the connection is idle");
            int before = backend.requests.size();
            BackendActors.Sent next = attempt(null);
            assertTrue(next.attempt().attach(connection));
            List<byte[]> taken = new ArrayList<>();
            while (buffers.available() > 0) {
                taken.add(buffers.take());
            }
            Thread writer = Sockets.start("writer", () -> connection.send(next.attempt()));
            eventually(
                    () -> anyThreadIn("BufferPool.take.*HttpWriter.send"), "its write has begun");
            if (leaves) {
                assertTrue(next.request().claim());
            }
            taken.forEach(buffers::give);
            writer.join(4_000);
            eventually(next.attempt()::isSettled, "settled");
            assertEquals(before + (leaves ? 0 : 1), backend.requests.size());
            backend.sockets.forEach(Sockets::close);
            thread.join(4_000);
            assertTrue(first.request().claim() && (leaves || next.request().claim()));
        }
        eventually(() -> buffers.available() == 16, "all buffers are back");
    }

    /**
     * The request was read late, its client had left before, and the thread that notices that has
     * not checked yet.
     */
    @Example
    void beforeTheFirstCheckOfItsClient() throws Exception {
        StandIn backend = new StandIn(request -> FAILED);
        BackendActors.Sent first = attempt(null);
        BackendConnection connection = connection(backend, first);
        Thread thread = Sockets.start("connection", connection);
        eventually(
                () -> first.attempt().isSettled() && anyThreadIn(IDLE_CONNECTION),
                "the connection is idle");
        BackendActors.Sent next = attempt(null);
        assertTrue(next.attempt().attach(connection));
        Thread writer = Sockets.thread("writer", () -> connection.send(next.attempt()));
        synchronized (next.request()) {
            writer.start();
            eventually(
                    () -> writer.getState() == Thread.State.BLOCKED,
                    "its write waits for the check");
            assertTrue(next.request().claim());
        }
        writer.join(4_000);
        eventually(next.attempt()::isSettled, "settled");
        assertEquals(1, backend.requests.size());
        backend.sockets.forEach(Sockets::close);
        thread.join(4_000);
        assertTrue(first.request().claim());
        eventually(() -> buffers.available() == 16, "all buffers are back");
    }

    // Behind another request

    @Example
    void behindAnotherRequestOfItsOwn() throws Exception {
        CountDownLatch proceed = new CountDownLatch(1);
        StandIn backend = backendThatWaits(proceed);
        startWithLongTimeouts(backend);
        for (boolean reset : new boolean[] {false, true}) {
            int before = backend.requests.size();
            Socket socket = connect();
            send(
                    socket,
                    longTimeoutRequest("once", "first" + reset)
                            + longTimeoutRequest("once", "second" + reset));
            eventually(() -> backend.requests.size() == before + 1, "the first is sent");
            disconnect(socket, reset, 0);
        }
        proceed.countDown();
        assertEquals(200, status(call(longTimeoutRequest("read", "after"))));
        assertEquals(3, backend.requests.size());
    }

    /** The client disconnects while the first response, a long one, is being relayed. */
    @Example
    void behindAResponseThatIsBeingRelayed() throws Exception {
        CountDownLatch left = new CountDownLatch(1);
        StandIn backend = new StandIn(request -> SILENT);
        backend.responder =
                request -> {
                    Socket socket = backend.sockets.get(0);
                    send(
                            socket,
                            "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"
                                    + "x".repeat(80_000));
                    awaitLatch(left);
                    return "x".repeat(20_000);
                };
        startWithLongTimeouts(backend);
        Socket socket = connect();
        send(socket, longTimeoutRequest("once", "first") + longTimeoutRequest("once", "second"));
        assertEquals('H', socket.getInputStream().read());
        socket.setSoLinger(true, 0);
        socket.close();
        eventually(() -> proxy.listener().clients().isEmpty(), "its disconnect is noticed");
        left.countDown();
        awaitLoadBalancer();
        backend.responder = request -> OK;
        assertEquals(200, status(call(longTimeoutRequest("read", "after"))));
        assertEquals(2, backend.requests.size());
    }

    // Before a further attempt

    @Example
    void beforeAFurtherAttempt() throws Exception {
        for (String how : List.of("end", "reset", "half")) {
            CountDownLatch proceed = new CountDownLatch(1);
            StandIn one =
                    new StandIn(
                            request -> {
                                proceed.await(8, TimeUnit.SECONDS);
                                return NOT_RUN;
                            });
            StandIn other = new StandIn(one.responder);
            startWithLongTimeouts(one, other);
            Socket socket = connect();
            send(socket, longTimeoutRequest("once", how));
            eventually(() -> one.requests.size() + other.requests.size() == 1, "the first is sent");
            if (how.equals("half")) {
                // For the proxy this is the same as a full close, and there is no response that the
                // client could wait for.
                socket.shutdownOutput();
                eventually(() -> proxy.listener().clients().isEmpty(), "its disconnect is noticed");
            } else {
                disconnect(socket, how.equals("reset"), 0);
            }
            proceed.countDown();
            one.responder = request -> OK;
            other.responder = request -> OK;
            assertEquals(200, status(call(longTimeoutRequest("once", "after"))));
            assertEquals(2, one.requests.size() + other.requests.size(), how);
            closesCleanly();
        }
    }

    private Thread flood(Socket socket) {
        return Sockets.start(
                "flood",
                () -> {
                    try {
                        send(socket, "x".repeat(FLOOD_BYTES));
                    } catch (IOException e) {
                        // Its input is not read any more.
                    }
                });
    }

    /** After so much input a client is not read before its response, and might leave unnoticed. */
    @Example
    void afterAFloodThereIsNoFurtherAttempt() throws Exception {
        CountDownLatch proceed = new CountDownLatch(1);
        StandIn one =
                new StandIn(
                        request -> {
                            proceed.await(8, TimeUnit.SECONDS);
                            return NOT_RUN;
                        });
        StandIn other = new StandIn(one.responder);
        startWithLongTimeouts(one, other);
        Socket socket = connect();
        send(socket, longTimeoutRequest("once", "flood"));
        eventually(() -> one.requests.size() + other.requests.size() == 1, "the first is sent");
        ClientConnection client = onlyClient();
        flood(socket);
        eventually(
                () -> anyThreadIn("Object.wait.*ClientConnection.awaitResponse"),
                "its input is not read any more");
        awaitLoadBalancer();
        assertTrue(client.hasOpenRequest(), "its first attempt is still in flight");
        proceed.countDown();
        eventually(() -> !client.hasOpenRequest(), "answered");
        one.responder = request -> OK;
        other.responder = request -> OK;
        assertEquals(200, status(call(longTimeoutRequest("once", "after"))));
        assertEquals(2, one.requests.size() + other.requests.size());
    }

    /**
     * The same before the first attempt is written, while it waits for something other than the
     * load balancer.
     */
    @Example
    void afterAFloodTheFirstAttemptStartsSoonOrNotAtAll() throws Exception {
        StandIn backend = new StandIn(request -> FAILED);
        BackendActor actor = backends.actor(backend, 0);
        BackendActors.Sent unobserved = attempt(actor);
        loadBalancer.clientUnobserved(unobserved.request(), 0);
        long startUntilTicks = unobserved.request().observedUntilTicks;
        assertTrue(
                startUntilTicks <= clock.now() + 1_000,
                "within 0.1 s of when it was last observed");
        eventually(() -> clock.now() >= startUntilTicks, "that time is over");
        BackendActors.Sent stays = attempt(actor);
        backends.executor.release();
        eventually(
                () -> unobserved.attempt().isSettled() && stays.attempt().isSettled(), "settled");
        assertEquals(1, backend.requests.size());
        backends.open.close();
        assertTrue(unobserved.request().claim() && stays.request().claim());
        eventually(() -> buffers.available() == 16, "all buffers are back");
    }

    // When the proxy shuts the connection's input down

    /** The connection is not read any more, so a disconnect would go unnoticed. */
    @Example
    void aRequestReadJustBeforeTheInputWasShutDownHasNoFurtherAttempt() throws Exception {
        CountDownLatch proceed = new CountDownLatch(1);
        StandIn one =
                new StandIn(
                        request -> {
                            proceed.await(8, TimeUnit.SECONDS);
                            return NOT_RUN;
                        });
        StandIn other = new StandIn(one.responder);
        startWithLongTimeouts(one, other);
        Socket socket = connect();
        // A new connection would have time for its first request.
        send(socket, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
        assertEquals(200, status(receive(socket)));
        ClientConnection client = onlyClient();
        CountDownLatch read = new CountDownLatch(1);
        CountDownLatch ended = new CountDownLatch(1);
        client.afterReadHook =
                () -> {
                    read.countDown();
                    awaitLatch(ended);
                };
        send(socket, longTimeoutRequest("once", "read"));
        assertTrue(awaitLatch(read));
        client.close();
        assertTrue(client.isInputShutDown());
        ended.countDown();
        eventually(() -> one.requests.size() + other.requests.size() == 1, "served nevertheless");
        eventually(
                () -> anyThreadIn("ClientConnection.abandonedRequest"),
                "its input is not read any more");
        awaitLoadBalancer();
        proceed.countDown();
        String answer = receive(socket);
        assertEquals(503, status(answer), answer);
        assertEquals(1, one.requests.size() + other.requests.size());
    }

    /** Reads nothing until its input has been shut down, and a request then. */
    private static final class LateSocket extends Socket {
        private final CountDownLatch ended = new CountDownLatch(1);
        private final Socket delegate;
        private final byte[] late;

        LateSocket(Socket delegate, String late) {
            this.delegate = delegate;
            this.late = late.getBytes(StandardCharsets.ISO_8859_1);
        }

        @Override
        public InputStream getInputStream() {
            AtomicBoolean given = new AtomicBoolean();
            return new InputStream() {
                @Override
                public int read() {
                    throw new UnsupportedOperationException();
                }

                @Override
                public int read(byte[] into, int at, int most) throws IOException {
                    awaitLatch(ended);
                    if (given.getAndSet(true)) {
                        return -1;
                    }
                    System.arraycopy(late, 0, into, at, late.length);
                    return late.length;
                }
            };
        }

        @Override
        public OutputStream getOutputStream() throws IOException {
            return delegate.getOutputStream();
        }

        @Override
        public void shutdownInput() {
            ended.countDown();
        }

        @Override
        public void setSoTimeout(int millis) {
            // Reads wait for as long as the test wants.
        }

        @Override
        public void setTcpNoDelay(boolean on) {
            // Nothing is delayed here.
        }

        @Override
        public synchronized void close() throws IOException {
            delegate.close();
        }
    }

    /**
     * Bytes arrive in the moment of the shutdown: their client takes them for unread and sends them
     * again.
     */
    @Example
    void aRequestReadAfterTheInputWasShutDownIsNotServed() throws Exception {
        Settings settings = ProxyConfiguration.read(config(settings(256, 1, ""))).settings();
        RequestValidator validator =
                new RequestValidator(
                        clock,
                        new RequestRules(null, new LoadBalancerFactory(settings), settings, 0),
                        new OpenRequestIds());
        ClientListener listener =
                new ClientListener(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        false,
                        50,
                        () -> 50,
                        (socket, from) ->
                                new ClientConnection(
                                        new LateSocket(socket, request("once", "late", "", "body")),
                                        from,
                                        loadBalancer,
                                        validator,
                                        buffers,
                                        null,
                                        new HttpWriter(buffers),
                                        watchdog,
                                        metrics,
                                        log),
                        workers,
                        log);
        Thread thread = Sockets.start("listener", listener);
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), listener.port())) {
            socket.setSoTimeout(8_000);
            eventually(() -> listener.clients().size() == 1, "accepted");
            ClientConnection client = listener.clients().iterator().next();
            eventually(
                    () -> anyThreadIn("LateSocket.*ClientConnection.awaitRequest"),
                    "the connection is idle");
            eventually(
                    () -> {
                        client.close();
                        return client.isInputShutDown();
                    },
                    "its input is shut down");
            assertEquals("", receive(socket));
            assertFalse(client.hasSubmittedRequest(), "submitted though its client sends it again");
        } finally {
            listener.close();
            thread.join(4_000);
        }
        eventually(() -> listener.isEmpty() && buffers.available() == 16, "all buffers are back");
    }

    // The remaining time that an attempt states

    @Example
    void timeSpentBehindAnotherRequestIsDeducted() throws Exception {
        long[] from = new long[2];
        long[] spent = new long[1];
        StandIn backend =
                new StandIn(
                        request -> {
                            if (field(request, "X-Request-ID", "").equals("first")) {
                                from[0] = System.nanoTime();
                                Thread.sleep(400);
                                spent[0] = (System.nanoTime() - from[0]) / 1_000_000;
                            }
                            return OK;
                        });
        startWithLongTimeouts(backend);
        Socket socket = connect();
        send(socket, longTimeoutRequest("once", "first") + longTimeoutRequest("once", "second"));
        assertEquals(200, status(receive(socket)));
        assertEquals(200, status(receive(socket)));
        long sentMillis = Long.parseLong(field(backend.requests.get(1), "X-Timeout-Ms", ""));
        assertTrue(
                sentMillis <= 20_000 - spent[0], sentMillis + " sent, and " + spent[0] + " spent");
    }

    @Example
    void timeSpentWaitingForABufferIsDeducted() throws Exception {
        StandIn backend = new StandIn(request -> FAILED);
        BackendActors.Sent first = attempt(null);
        BackendConnection connection = connection(backend, first);
        Thread thread = Sockets.start("connection", connection);
        eventually(
                () -> first.attempt().isSettled() && anyThreadIn(IDLE_CONNECTION),
                "the connection is idle");
        BackendActors.Sent next = attempt(null);
        assertTrue(next.attempt().attach(connection));
        List<byte[]> taken = new ArrayList<>();
        while (buffers.available() > 0) {
            taken.add(buffers.take());
        }
        Thread writer = Sockets.start("writer", () -> connection.send(next.attempt()));
        eventually(() -> anyThreadIn("BufferPool.take.*HttpWriter.send"), "its write has begun");
        long since = clock.now();
        eventually(() -> clock.now() - since >= 1_000, "some time is spent");
        long left = (next.request().deadlineTicks - clock.now()) / 10;
        taken.forEach(buffers::give);
        eventually(() -> backend.requests.size() == 2, "written");
        long sentMillis = Long.parseLong(field(backend.requests.get(1), "X-Timeout-Ms", ""));
        assertTrue(sentMillis <= left, sentMillis + " sent, and " + left + " left");
        backend.sockets.forEach(Sockets::close);
        writer.join(4_000);
        thread.join(4_000);
        assertTrue(first.request().claim() && next.request().claim());
        eventually(() -> buffers.available() == 16, "all buffers are back");
    }
}
