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
 * Brings requests to one proxy, one at a time on each connection, and tells the ledger. A
 * connection that ends before its answer begins, having been used before, is taken for one that the
 * proxy closed between requests: the request goes once more on a new one (PROTOCOL, Callers to
 * proxies).
 */
final class ProxyClient implements Connection.Owner {
    /**
     * How long an answer is waited for beyond the patience, so that late ones are seen as late: in
     * ns.
     */
    private static final long BEYOND = 500_000_000L;

    /**
     * Nanoseconds for a connection to come up: on one machine it does at once, or the proxy is
     * stuck.
     */
    private static final long CONNECT = 1_000_000_000L;

    /** Pieces in which a request is written whose body takes its time. */
    private static final int UPLOAD_PIECES = 10;

    /** What came of it. */
    enum End {
        FINISHED,
        DEFERRED,
        WRITTEN_OFF,
        NO_ANSWER,
        NOT_TAKEN,
        LEFT
    }

    /** An answer; the come-back time is in nanoseconds, 0 where there was none. */
    record Result(End end, long comeBack) {}

    /** A request as it is written on the wire. */
    record Request(
            String id,
            String chain,
            String key,
            Scenario.CategoryPlan category,
            String tenant,
            long patience,
            boolean retried,
            double work) {
        byte[] bytes(long left) {
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
                            + Math.max(1, left / 1_000_000)
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

    /** One request on its way on one connection. */
    private static final class Call {
        final Request request;
        final Consumer<Result> then;

        /** When its answer is due; with a slow upload, from its last byte on. */
        long until;

        final boolean keep;
        final long leaveAt;
        boolean reused;
        boolean again;
        boolean written;
        boolean begun;

        /** When its connection was opened for it, and whether that came up. */
        long openedAt;

        boolean up;
        EventLoop.Timer timer;
        HttpMessageParser in = new HttpMessageParser();

        Call(Request request, long until, boolean keep, long leaveAt, Consumer<Result> then) {
            this.request = request;
            this.until = until;
            this.keep = keep;
            this.leaveAt = leaveAt;
            this.then = then;
        }
    }

    private final EventLoop loop;
    private final Ledger ledger;
    private final ByteBuffer buffer;
    private final int proxy;
    private final Supplier<InetSocketAddress> address;
    private final String sabotage;
    private final SplittableRandom chance;
    private final Deque<Connection> resting = new ArrayDeque<>();
    private final Set<Connection> busy = new HashSet<>();

    /** When the proxy was told to end, and until when its front sends it new connections. */
    private long termAt;

    private long openUntil = Long.MAX_VALUE;

    /** The proxy is being killed: what it owes is excused, as long as it has not started again. */
    private boolean dying;

    ProxyClient(
            EventLoop loop,
            Ledger ledger,
            ByteBuffer buffer,
            int proxy,
            Supplier<InetSocketAddress> address,
            String sabotage,
            SplittableRandom chance) {
        this.loop = loop;
        this.ledger = ledger;
        this.buffer = buffer;
        this.proxy = proxy;
        this.address = address;
        this.sabotage = sabotage;
        this.chance = chance;
    }

    /**
     * Sends a request; the result comes later, once.
     *
     * @param keep whether the connection is used again
     * @param leaveIn nanoseconds after which the client leaves; negative for never
     */
    void send(Request request, boolean keep, long leaveIn, Consumer<Result> then) {
        long now = loop.now();
        Call call =
                new Call(
                        request,
                        now + request.patience(),
                        keep,
                        leaveIn < 0 ? Long.MAX_VALUE : now + leaveIn,
                        then);
        Connection conn = resting.pollLast();
        if (conn != null) {
            call.reused = true;
            start(conn, call);
        } else {
            open(call);
        }
    }

    private void open(Call call) {
        InetSocketAddress to = loop.now() > openUntil ? null : address.get();
        if (to == null) {
            loop.after(0, () -> call.then.accept(new Result(End.NOT_TAKEN, 0)));
            return;
        }
        Connection conn = Connection.open(loop, to, this, buffer);
        call.openedAt = loop.now();
        call.up = false;
        conn.attachment = call;
        busy.add(conn);
        call.timer = loop.at(Math.min(call.until, loop.now() + CONNECT), conn::reset);
    }

    @Override
    public void onConnected(Connection conn) {
        if (conn.attachment instanceof Call call) {
            call.timer.cancel();
            call.up = true;
            start(conn, call);
        }
    }

    private void start(Connection conn, Call call) {
        conn.attachment = call;
        busy.add(conn);
        byte[] bytes = call.request.bytes(call.until - loop.now());
        long upload = call.request.category().upload();
        if (upload == 0) {
            sent(conn, call);
            conn.write(bytes);
        } else {
            call.timer = null;
            upload(conn, call, bytes, 0, upload / UPLOAD_PIECES);
        }
    }

    /** Writes one piece of a long request; the others follow. */
    private void upload(Connection conn, Call call, byte[] bytes, int piece, long between) {
        if (conn.isClosed() || conn.attachment != call || call.written) {
            return;
        }
        int from = (int) ((long) bytes.length * piece / UPLOAD_PIECES);
        int to = (int) ((long) bytes.length * (piece + 1) / UPLOAD_PIECES);
        boolean lastPiece = piece == UPLOAD_PIECES - 1;
        if (lastPiece) {
            call.until = loop.now() + call.request.patience();
            sent(conn, call);
        } else {
            loop.after(between, () -> upload(conn, call, bytes, piece + 1, between));
        }
        conn.write(Arrays.copyOfRange(bytes, from, to));
    }

    /** Its last byte is being written: from now on an answer is owed. */
    private void sent(Connection conn, Call call) {
        if (!call.again) {
            ledger.sent(
                    call.request.id(),
                    call.request.chain(),
                    call.request.category().name(),
                    proxy,
                    call.until);
        }
        call.written = true;
        long leave = Math.min(call.until + BEYOND, call.leaveAt);
        call.timer =
                loop.at(
                        leave,
                        () -> {
                            boolean left = call.leaveAt < call.until;
                            if (left) {
                                ledger.excused(loop.now(), call.request.id(), false);
                            } else {
                                noAnswer(call, "no answer came before its expiry");
                            }
                            finish(
                                    conn,
                                    call,
                                    new Result(left ? End.LEFT : End.NO_ANSWER, 0),
                                    false);
                        });
    }

    @Override
    public void onBytes(Connection conn, byte[] bytes, int length) {
        if (!(conn.attachment instanceof Call call)) {
            // Nothing was asked for on it; a later answer would be taken for another's.
            conn.reset();
            return;
        }
        call.begun = true;
        call.in.add(bytes, length);
        try {
            HttpMessageParser.Message message = call.in.next();
            if (message != null) {
                answered(conn, call, message);
            }
        } catch (HttpMessageParser.MalformedMessageException e) {
            ledger.unanswered(
                    loop.now(), call.request.id(), "its answer can't be read: " + e.getMessage());
            finish(conn, call, new Result(End.NO_ANSWER, 0), false);
        }
    }

    private void answered(Connection conn, Call call, HttpMessageParser.Message message) {
        long now = loop.now();
        if (!call.written) {
            // An answer before the request has come whole is its final one.
            sent(conn, call);
        }
        if (sabotage.equals("drop-answer") && chance.nextInt(200) == 0) {
            ledger.unanswered(now, call.request.id(), "its connection ended with no whole answer");
            finish(conn, call, new Result(End.NO_ANSWER, 0), false);
            return;
        }
        if (sabotage.equals("answer-late") && chance.nextInt(200) == 0) {
            now = call.until + 200_000_000L;
        }
        int body =
                Arrays.hashCode(message.body())
                        + (sabotage.equals("wrong-answer") && chance.nextInt(200) == 0 ? 1 : 0);
        String status = message.startLine().get(1);
        End end =
                status.equals("200")
                        ? End.FINISHED
                        : status.equals("503") || status.equals("429")
                                ? End.DEFERRED
                                : End.WRITTEN_OFF;
        ledger.answered(now, call.request.id(), end == End.FINISHED, body);
        long comeBack = 0;
        String after = message.field("retry-after");
        if (after != null && after.matches("[0-9]{1,6}(\\.[0-9]{1,6})?")) {
            comeBack = (long) (1e9 * Double.parseDouble(after));
        }
        finish(
                conn,
                call,
                new Result(end, comeBack),
                call.keep && !message.closesConnection() && call.in.isIdle());
    }

    private void finish(Connection conn, Call call, Result result, boolean keep) {
        call.timer.cancel();
        busy.remove(conn);
        conn.attachment = null;
        if (keep && !conn.isClosed()) {
            resting.addLast(conn);
        } else {
            conn.close();
        }
        call.then.accept(result);
    }

    @Override
    public void onClosed(Connection conn, boolean byReset) {
        resting.remove(conn);
        busy.remove(conn);
        if (!(conn.attachment instanceof Call call)) {
            return;
        }
        conn.attachment = null;
        if (call.timer != null) {
            call.timer.cancel();
        }
        if (!call.written) {
            if (!call.up && termAt > 0 && call.openedAt <= openUntil) {
                ledger.refused(
                        loop.now(),
                        proxy,
                        String.format(
                                Locale.ROOT,
                                "%s%s, opened %.1f ms after SIGTERM, %s after %.1f ms, due in %.1f"
                                        + " ms",
                                call.request.id(),
                                call.reused ? " on a kept connection" : "",
                                (call.openedAt - termAt) / 1e6,
                                byReset ? "failed" : "ended",
                                (loop.now() - call.openedAt) / 1e6,
                                (call.until - loop.now()) / 1e6));
            }
            call.then.accept(new Result(End.NOT_TAKEN, 0));
        } else if (call.reused && !call.begun && !call.again && loop.now() < call.until) {
            call.again = true;
            call.reused = false;
            call.written = false;
            open(call);
        } else {
            noAnswer(call, "its connection ended with no whole answer");
            call.then.accept(new Result(End.NO_ANSWER, 0));
        }
    }

    /** The proxy is about to be told to end; its front sends new connections for a while. */
    void leaves(long forNanos) {
        termAt = loop.now();
        openUntil = termAt + forNanos;
    }

    /** Another process of the proxy serves. */
    void restarted() {
        termAt = 0;
        openUntil = Long.MAX_VALUE;
    }

    /** The proxy is about to be killed, or serves again. */
    void dying(boolean dies) {
        dying = dies;
    }

    private void noAnswer(Call call, String how) {
        if (dying) {
            ledger.excused(loop.now(), call.request.id(), true);
        } else {
            ledger.unanswered(loop.now(), call.request.id(), how);
        }
    }

    /** Ends all connections. */
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
        java.util.List.copyOf(resting).forEach(Connection::reset);
    }
}
