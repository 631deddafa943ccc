package cottonlock.lab;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * A baseline to compare with: a proxy that picks one of the backends listed as active by a simple
 * policy, retries only requests that provably weren't processed, and has no lanes, quotas,
 * uncertain outcomes or handling of cold starts. It shows what the decisions of the real proxy are
 * worth; no command serves with it.
 */
final class BaselineProxy implements Connection.Owner {
    /** How long before the deadline it gives up, in nanoseconds, to leave time for the response. */
    private static final long RESPONSE_RESERVE_NANOS = 10_000_000L;

    /** A request of a client. */
    private static final class ClientRequest {
        final Connection client;
        final HttpMessageParser.Message message;
        final long deadline;
        final List<Backend> tried = new ArrayList<>();
        EventLoop.Timer timer;
        BackendConnection connection;
        boolean finished;

        ClientRequest(Connection client, HttpMessageParser.Message message, long deadline) {
            this.client = client;
            this.message = message;
            this.deadline = deadline;
        }
    }

    /** A connection to a backend with the request in progress on it. */
    private final class BackendConnection implements Connection.Owner {
        final Backend backend;
        final HttpMessageParser parser = new HttpMessageParser();
        Connection conn;
        ClientRequest request;
        boolean written;
        EventLoop.Timer connectTimer;

        BackendConnection(Backend backend, ClientRequest request) {
            this.backend = backend;
            this.request = request;
        }

        void write() {
            HttpMessageParser.Message message = request.message;
            StringBuilder head =
                    new StringBuilder(String.join(" ", message.startLine())).append("\r\n");
            message.fields()
                    .forEach(
                            (name, value) -> {
                                if (!name.equals("x-timeout-ms") && !name.equals("connection")) {
                                    head.append(name).append(": ").append(value).append("\r\n");
                                }
                            });
            long remaining = Math.max(1, (request.deadline - loop.now()) / 1_000_000);
            head.append("X-Timeout-Ms: ").append(remaining).append("\r\n\r\n");
            byte[] bytes = head.toString().getBytes(StandardCharsets.ISO_8859_1);
            byte[] whole = java.util.Arrays.copyOf(bytes, bytes.length + message.body().length);
            System.arraycopy(message.body(), 0, whole, bytes.length, message.body().length);
            written = true;
            conn.write(whole);
        }

        @Override
        public void onConnected(Connection c) {
            connectTimer.cancel();
            if (request != null) {
                write();
            }
        }

        @Override
        public void onBytes(Connection c, byte[] bytes, int length) {
            parser.add(bytes, length);
            try {
                HttpMessageParser.Message response = parser.next();
                if (response == null) {
                    return;
                }
                ClientRequest done = request;
                request = null;
                inFlight.merge(backend, -1, Integer::sum);
                if (done == null) {
                    c.reset();
                    return;
                }
                idle.computeIfAbsent(backend, b -> new ArrayDeque<>()).addLast(this);
                onBackendResponse(done, response);
            } catch (HttpMessageParser.MalformedMessageException e) {
                c.reset();
            }
        }

        @Override
        public void onClosed(Connection c, boolean byReset) {
            idle.getOrDefault(backend, new ArrayDeque<>()).remove(this);
            ClientRequest interrupted = request;
            request = null;
            connectTimer.cancel();
            if (interrupted != null) {
                inFlight.merge(backend, -1, Integer::sum);
                if (!interrupted.finished) {
                    if (written) {
                        respond(interrupted, isSafe(interrupted) ? 503 : 502);
                    } else {
                        attempt(interrupted);
                    }
                }
            }
        }
    }

    private final EventLoop loop;
    private final ByteBuffer buffer;
    private final int proxyNumber;
    private final String policy;
    private final int maxAttempts;
    private final long connectTimeout;
    private final SplittableRandom random;
    private final Map<Backend, InetSocketAddress> addresses;
    private final Listener listener;
    private final Map<Connection, HttpMessageParser> parsers = new HashMap<>();
    private final Map<Connection, ClientRequest> requests = new HashMap<>();
    private final Map<Backend, Deque<BackendConnection>> idle = new HashMap<>();
    private final Map<Backend, Integer> inFlight = new HashMap<>();
    private List<Backend> active = List.of();
    private int nextIndex;

    BaselineProxy(
            EventLoop loop,
            ByteBuffer buffer,
            int proxyNumber,
            String policy,
            int maxAttempts,
            long connectTimeout,
            SplittableRandom random,
            Map<Backend, InetSocketAddress> addresses)
            throws IOException {
        this.loop = loop;
        this.buffer = buffer;
        this.proxyNumber = proxyNumber;
        this.policy = policy;
        this.maxAttempts = maxAttempts;
        this.connectTimeout = connectTimeout;
        this.random = random;
        this.addresses = addresses;
        this.listener = new Listener(loop, buffer, this, new NetworkPath(null), proxyNumber, this);
    }

    InetSocketAddress address() {
        return listener.address();
    }

    void setActiveBackends(List<Backend> now) {
        active = now;
    }

    @Override
    public void onConnected(Connection conn) {
        parsers.put(conn, new HttpMessageParser());
    }

    @Override
    public void onBytes(Connection conn, byte[] bytes, int length) {
        HttpMessageParser parser = parsers.get(conn);
        parser.add(bytes, length);
        try {
            HttpMessageParser.Message message = parser.next();
            if (message == null) {
                return;
            }
            long deadline =
                    loop.now()
                            + 1_000_000L * Long.parseLong(message.field("x-timeout-ms"))
                            - RESPONSE_RESERVE_NANOS;
            ClientRequest request = new ClientRequest(conn, message, deadline);
            requests.put(conn, request);
            request.timer = loop.at(deadline, () -> respond(request, 502));
            attempt(request);
        } catch (HttpMessageParser.MalformedMessageException e) {
            conn.reset();
        }
    }

    private static boolean isSafe(ClientRequest request) {
        return request.message.startLine().get(0).equals("GET");
    }

    private void attempt(ClientRequest request) {
        List<Backend> candidates = new ArrayList<>(active);
        candidates.removeAll(request.tried);
        if (candidates.isEmpty() || request.tried.size() >= maxAttempts) {
            respond(request, 503);
            return;
        }
        Backend backend = pick(candidates);
        request.tried.add(backend);
        inFlight.merge(backend, 1, Integer::sum);
        Deque<BackendConnection> idleToBackend = idle.getOrDefault(backend, new ArrayDeque<>());
        for (BackendConnection connection = idleToBackend.pollLast();
                connection != null;
                connection = idleToBackend.pollLast()) {
            if (!connection.conn.isClosed()) {
                connection.request = request;
                request.connection = connection;
                connection.write();
                return;
            }
        }
        BackendConnection connection = new BackendConnection(backend, request);
        request.connection = connection;
        connection.conn = Connection.open(loop, addresses.get(backend), connection, buffer);
        connection.connectTimer = loop.after(connectTimeout, connection.conn::reset);
    }

    private Backend pick(List<Backend> candidates) {
        switch (policy) {
            case "least" -> {
                int least =
                        candidates.stream()
                                .mapToInt(b -> inFlight.getOrDefault(b, 0))
                                .min()
                                .orElse(0);
                List<Backend> leastLoaded =
                        candidates.stream()
                                .filter(b -> inFlight.getOrDefault(b, 0) == least)
                                .toList();
                return leastLoaded.get(random.nextInt(leastLoaded.size()));
            }
            case "round" -> {
                return candidates.get(Math.floorMod(nextIndex++ + proxyNumber, candidates.size()));
            }
            default -> {
                return candidates.get(random.nextInt(candidates.size()));
            }
        }
    }

    private void onBackendResponse(ClientRequest request, HttpMessageParser.Message response) {
        if (request.finished) {
            return;
        }
        request.connection = null;
        switch (response.startLine().get(1)) {
            case "200" -> {
                finish(request);
                request.client.write(
                        HttpMessageParser.encodeResponse(200, null, null, response.body()));
            }
            case "503", "504" -> {
                if (response.field("x-not-processed") != null) {
                    attempt(request);
                } else {
                    respond(request, isSafe(request) ? 503 : 502);
                }
            }
            default -> respond(request, isSafe(request) ? 503 : 502);
        }
    }

    private void respond(ClientRequest request, int status) {
        if (request.finished) {
            return;
        }
        finish(request);
        if (request.connection != null && request.connection.request == request) {
            request.connection.conn.reset();
        }
        request.client.write(HttpMessageParser.encodeResponse(status, null, null, new byte[0]));
    }

    private void finish(ClientRequest request) {
        request.finished = true;
        request.timer.cancel();
        requests.remove(request.client);
    }

    @Override
    public void onClosed(Connection conn, boolean byReset) {
        parsers.remove(conn);
        listener.connections.remove(conn);
        ClientRequest request = requests.get(conn);
        if (request != null) {
            finish(request);
            if (request.connection != null && request.connection.request == request) {
                request.connection.conn.reset();
            }
        }
    }
}
