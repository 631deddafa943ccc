package cottonlock.lab;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Sends requests to one proxy, one at a time on each connection, and reports them to the ledger. If
 * a connection that was used before ends before its response begins, the proxy is assumed to have
 * closed it between requests: the request is sent once more on a new one (PROTOCOL, Callers to
 * proxies).
 */
final class ProxyClient implements Connection.Owner {
    /**
     * How long to wait for a response after the deadline, in nanoseconds, so that a late response
     * is seen as late.
     */
    private static final long LATE_RESPONSE_WAIT_NANOS = 500_000_000L;

    /**
     * The timeout for opening a connection, in nanoseconds: on one machine it opens at once, or the
     * proxy is stuck.
     */
    private static final long CONNECT_TIMEOUT_NANOS = 1_000_000_000L;

    /** The number of pieces in which the bytes of a slow upload are written. */
    private static final int UPLOAD_PIECES = 10;

    /** The outcome of a request. */
    enum Outcome {
        COMPLETED,
        REJECTED,
        FAILED,
        NO_RESPONSE,
        NOT_SENT,
        CANCELLED
    }

    /**
     * The outcome of a request, with the Retry-After time in nanoseconds, or 0 if there is none.
     */
    record Result(Outcome outcome, long retryAfterNanos) {}

    /** A request as it is sent on the wire. */
    record Request(
            String id,
            String chain,
            String key,
            Scenario.CategoryPlan category,
            String tenant,
            long timeoutNanos,
            boolean retried,
            double work) {
        byte[] encode(long remainingNanos) {
            boolean get = category.repeat().equals("safe");
            int bodyBytes = category.bodyBytes();
            String text =
                    (get ? "GET /" : "POST /")
                            + category.name()
                            + "?w="
                            + (long) (work / 1_000)
                            + " HTTP/1.1\r\nHost: lab\r\nX-Request-ID: "
                            + id
                            + "\r\nX-Priority-Class: "
                            + category.name()
                            + "\r\nX-Tenant-Id: "
                            + tenant
                            + "\r\nX-Timeout-Ms: "
                            + Math.max(1, remainingNanos / 1_000_000)
                            + (retried ? "\r\nX-Retried: 1" : "")
                            + (category.repeat().equals("keyed")
                                    ? "\r\nIdempotency-Key: " + key
                                    : "")
                            + (get
                                    ? "\r\n\r\n"
                                    : "\r\nContent-Length: "
                                            + bodyBytes
                                            + "\r\n\r\n"
                                            + "b".repeat(bodyBytes));
            return text.getBytes(StandardCharsets.ISO_8859_1);
        }
    }

    /** One request in progress on one connection. */
    private static final class Call {
        final Request request;
        final Consumer<Result> onResult;

        /** When the response is due; for a slow upload, counted from its last byte. */
        long deadline;

        final boolean keepAlive;
        final long cancelAt;
        boolean reused;
        boolean resent;
        boolean written;
        boolean responseStarted;

        /** When a connection was opened for the request, and whether it was established. */
        long openedAt;

        boolean connected;
        EventLoop.Timer timer;
        HttpMessageParser parser = new HttpMessageParser();

        Call(
                Request request,
                long deadline,
                boolean keepAlive,
                long cancelAt,
                Consumer<Result> onResult) {
            this.request = request;
            this.deadline = deadline;
            this.keepAlive = keepAlive;
            this.cancelAt = cancelAt;
            this.onResult = onResult;
        }
    }

    private final EventLoop loop;
    private final Ledger ledger;
    private final ByteBuffer buffer;
    private final int proxy;
    private final Supplier<InetSocketAddress> address;
    private final String sabotage;
    private final SplittableRandom random;
    private final Deque<Connection> idle = new ArrayDeque<>();
    private final Set<Connection> busy = new HashSet<>();

    /**
     * When the proxy was signalled to end, and until when the front-end balancer sends it new
     * connections.
     */
    private long terminatedAt;

    private long newConnectionsUntil = Long.MAX_VALUE;

    /** The proxy is killed or stopped: missing responses are excused until it serves again. */
    private boolean proxyUnavailable;

    ProxyClient(
            EventLoop loop,
            Ledger ledger,
            ByteBuffer buffer,
            int proxy,
            Supplier<InetSocketAddress> address,
            String sabotage,
            SplittableRandom random) {
        this.loop = loop;
        this.ledger = ledger;
        this.buffer = buffer;
        this.proxy = proxy;
        this.address = address;
        this.sabotage = sabotage;
        this.random = random;
    }

    /**
     * Sends a request; the result is reported later, exactly once.
     *
     * @param keepAlive whether the connection is reused
     * @param cancelAfter nanoseconds after which the client disconnects; negative for never
     */
    void send(Request request, boolean keepAlive, long cancelAfter, Consumer<Result> onResult) {
        long now = loop.now();
        Call call =
                new Call(
                        request,
                        now + request.timeoutNanos(),
                        keepAlive,
                        cancelAfter < 0 ? Long.MAX_VALUE : now + cancelAfter,
                        onResult);
        Connection conn = idle.pollLast();
        if (conn != null) {
            call.reused = true;
            startCall(conn, call);
        } else {
            open(call);
        }
    }

    private void open(Call call) {
        InetSocketAddress to = loop.now() > newConnectionsUntil ? null : address.get();
        if (to == null) {
            loop.after(0, () -> call.onResult.accept(new Result(Outcome.NOT_SENT, 0)));
            return;
        }
        Connection conn = Connection.open(loop, to, this, buffer);
        call.openedAt = loop.now();
        call.connected = false;
        conn.attachment = call;
        busy.add(conn);
        call.timer =
                loop.at(Math.min(call.deadline, loop.now() + CONNECT_TIMEOUT_NANOS), conn::reset);
    }

    @Override
    public void onConnected(Connection conn) {
        if (conn.attachment instanceof Call call) {
            call.timer.cancel();
            call.connected = true;
            startCall(conn, call);
        }
    }

    private void startCall(Connection conn, Call call) {
        conn.attachment = call;
        busy.add(conn);
        byte[] bytes = call.request.encode(call.deadline - loop.now());
        long upload = call.request.category().upload();
        if (upload == 0) {
            recordSent(conn, call);
            conn.write(bytes);
        } else {
            call.timer = null;
            upload(conn, call, bytes, 0, upload / UPLOAD_PIECES);
        }
    }

    /** Writes one piece of a slow upload and schedules the next. */
    private void upload(Connection conn, Call call, byte[] bytes, int piece, long pauseNanos) {
        if (conn.isClosed() || conn.attachment != call || call.written) {
            return;
        }
        int from = (int) ((long) bytes.length * piece / UPLOAD_PIECES);
        int to = (int) ((long) bytes.length * (piece + 1) / UPLOAD_PIECES);
        boolean lastPiece = piece == UPLOAD_PIECES - 1;
        if (lastPiece) {
            call.deadline = loop.now() + call.request.timeoutNanos();
            recordSent(conn, call);
        } else {
            loop.after(pauseNanos, () -> upload(conn, call, bytes, piece + 1, pauseNanos));
        }
        conn.write(Arrays.copyOfRange(bytes, from, to));
    }

    /** Reports that the last byte is being written: from now on a response is owed. */
    private void recordSent(Connection conn, Call call) {
        if (!call.resent) {
            ledger.sent(
                    call.request.id(),
                    call.request.chain(),
                    call.request.category().name(),
                    proxy,
                    call.deadline);
        }
        call.written = true;
        long endAt = Math.min(call.deadline + LATE_RESPONSE_WAIT_NANOS, call.cancelAt);
        call.timer =
                loop.at(
                        endAt,
                        () -> {
                            boolean cancelled = call.cancelAt < call.deadline;
                            if (cancelled) {
                                ledger.excused(loop.now(), call.request.id(), false);
                            } else {
                                recordNoResponse(call, "no answer came before its expiry");
                            }
                            finishCall(
                                    conn,
                                    call,
                                    new Result(
                                            cancelled ? Outcome.CANCELLED : Outcome.NO_RESPONSE, 0),
                                    false);
                        });
    }

    @Override
    public void onBytes(Connection conn, byte[] bytes, int length) {
        if (!(conn.attachment instanceof Call call)) {
            // No request is open: a later response would be taken for that of another request.
            conn.reset();
            return;
        }
        call.responseStarted = true;
        call.parser.add(bytes, length);
        try {
            HttpMessageParser.Message message = call.parser.next();
            if (message != null) {
                onResponse(conn, call, message);
            }
        } catch (HttpMessageParser.MalformedMessageException e) {
            ledger.unanswered(
                    loop.now(), call.request.id(), "its answer can't be read: " + e.getMessage());
            finishCall(conn, call, new Result(Outcome.NO_RESPONSE, 0), false);
        }
    }

    private void onResponse(Connection conn, Call call, HttpMessageParser.Message message) {
        long now = loop.now();
        if (!call.written) {
            // A response that comes before the request is complete is its final one.
            recordSent(conn, call);
        }
        if (sabotage.equals("drop-answer") && random.nextInt(200) == 0) {
            ledger.unanswered(now, call.request.id(), "its connection ended with no whole answer");
            finishCall(conn, call, new Result(Outcome.NO_RESPONSE, 0), false);
            return;
        }
        if (sabotage.equals("answer-late") && random.nextInt(200) == 0) {
            now = call.deadline + 200_000_000L;
        }
        int body =
                Arrays.hashCode(message.body())
                        + (sabotage.equals("wrong-answer") && random.nextInt(200) == 0 ? 1 : 0);
        String status = message.startLine().get(1);
        Outcome outcome =
                status.equals("200")
                        ? Outcome.COMPLETED
                        : status.equals("503") || status.equals("429")
                                ? Outcome.REJECTED
                                : Outcome.FAILED;
        ledger.answered(now, call.request.id(), outcome == Outcome.COMPLETED, body);
        long retryAfterNanos = 0;
        String after = message.field("retry-after");
        if (after != null && after.matches("[0-9]{1,6}(\\.[0-9]{1,6})?")) {
            retryAfterNanos = (long) (1e9 * Double.parseDouble(after));
        }
        finishCall(
                conn,
                call,
                new Result(outcome, retryAfterNanos),
                call.keepAlive && !message.closesConnection() && call.parser.isIdle());
    }

    private void finishCall(Connection conn, Call call, Result result, boolean keepAlive) {
        call.timer.cancel();
        busy.remove(conn);
        conn.attachment = null;
        if (keepAlive && !conn.isClosed()) {
            idle.addLast(conn);
        } else {
            conn.close();
        }
        call.onResult.accept(result);
    }

    @Override
    public void onClosed(Connection conn, boolean byReset) {
        idle.remove(conn);
        busy.remove(conn);
        if (!(conn.attachment instanceof Call call)) {
            return;
        }
        conn.attachment = null;
        if (call.timer != null) {
            call.timer.cancel();
        }
        if (!call.written) {
            if (!call.connected && terminatedAt > 0 && call.openedAt <= newConnectionsUntil) {
                ledger.refused(
                        loop.now(),
                        proxy,
                        String.format(
                                Locale.ROOT,
                                "%s%s, opened %.1f ms after SIGTERM, %s after %.1f ms, due in %.1f"
                                        + " ms",
                                call.request.id(),
                                call.reused ? " on a kept connection" : "",
                                (call.openedAt - terminatedAt) / 1e6,
                                byReset ? "failed" : "ended",
                                (loop.now() - call.openedAt) / 1e6,
                                (call.deadline - loop.now()) / 1e6));
            }
            call.onResult.accept(new Result(Outcome.NOT_SENT, 0));
        } else if (call.reused
                && !call.responseStarted
                && !call.resent
                && loop.now() < call.deadline) {
            call.resent = true;
            call.reused = false;
            call.written = false;
            open(call);
        } else {
            recordNoResponse(call, "its connection ended with no whole answer");
            call.onResult.accept(new Result(Outcome.NO_RESPONSE, 0));
        }
    }

    /**
     * Called before the proxy is signalled to end; the front-end balancer sends it new connections
     * for this time.
     */
    void onProxyTerminating(long forNanos) {
        terminatedAt = loop.now();
        newConnectionsUntil = terminatedAt + forNanos;
    }

    /** Called when another process of the proxy serves. */
    void onProxyRestarted() {
        terminatedAt = 0;
        newConnectionsUntil = Long.MAX_VALUE;
    }

    /** Marks the proxy as killed or stopped, or as serving again. */
    void setProxyUnavailable(boolean value) {
        proxyUnavailable = value;
    }

    private void recordNoResponse(Call call, String how) {
        if (proxyUnavailable) {
            ledger.excused(loop.now(), call.request.id(), true);
        } else {
            ledger.unanswered(loop.now(), call.request.id(), how);
        }
    }

    /** Resets all connections. */
    void close() {
        for (Connection conn : Set.copyOf(busy)) {
            if (conn.attachment instanceof Call call) {
                if (call.timer != null) {
                    call.timer.cancel();
                }
                conn.attachment = null;
            }
            conn.reset();
        }
        java.util.List.copyOf(idle).forEach(Connection::reset);
    }
}
