package cottonlock.proxy;

import cottonlock.admin.Metrics;
import cottonlock.proxy.http.BodySpillFiles;
import cottonlock.proxy.http.BufferPool;
import cottonlock.proxy.http.HttpReader;
import cottonlock.proxy.http.HttpWriter;
import cottonlock.proxy.http.MalformedMessageException;
import cottonlock.proxy.http.MessageBody;
import cottonlock.proxy.http.MessageHead;
import cottonlock.proxy.io.RateLimitedLog;
import cottonlock.proxy.io.Sockets;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/**
 * One connection of a client. Its thread reads all the time, so that a client that leaves is
 * noticed while its request is out; answers are written by the thread that has them.
 */
final class ClientConnection implements Runnable {
    /**
     * Milliseconds between requests: many clients ask once and stay, and may be left after two
     * seconds.
     */
    private static final long IDLE_TIMEOUT_MILLIS = 2_200;

    /**
     * Milliseconds for a head to come in, from connecting for the first, and for a pause in a body:
     * slow ones take two seconds, half ones must not pile up.
     */
    private static final long READ_TIMEOUT_MILLIS = 2_600;

    /** Bytes a second of a body at least: a little less than the slowest clients send. */
    private static final long MIN_BODY_BYTES_PER_SECOND = 48 << 10;

    /**
     * Nanoseconds of silence after which a request that has not come whole may give way: with a
     * second, a crowd of half ones held all places, and those who came were closed unread.
     */
    private static final long PARTIAL_REQUEST_NANOS = 250_000_000L;

    /**
     * Milliseconds for what a refused client still sends, so that it sees the answer before the
     * end.
     */
    private static final long REFUSAL_LINGER_MILLIS = 300;

    /**
     * Nanoseconds after connecting within which the first request begins: a far network's round
     * trip.
     */
    private static final long FIRST_REQUEST_NANOS = 300_000_000L;

    /** Milliseconds after which a request that came before the last answer is looked at again. */
    private static final long READ_AHEAD_CHECK_MILLIS = 20;

    /**
     * Milliseconds that a backend may pause within a long answer: some take seconds to write on.
     */
    private static final long RELAY_PAUSE_MILLIS = 5_000;

    /**
     * Bytes that are read and dropped at most: what lies in the buffers of one connection. Reading
     * on through 60 MB costs the others.
     */
    private static final int MAX_DISCARDED_BYTES = 256 << 10;

    private static final byte[] CONTINUE_RESPONSE =
            "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final Socket socket;
    private final ClientListener listener;
    private final LoadBalancerActor module;
    private final RequestValidator admission;
    private final BufferPool buffers;
    private final BodySpillFiles spools;
    private final HttpWriter writer;
    private final WriteTimeoutWatchdog watchdog;
    private final Metrics figures;
    private final RateLimitedLog log;
    private ClientRequest req;
    private HttpReader coming;
    private boolean reading;

    /** Whether some of the next request has been read while the answer to the last is owed. */
    private boolean nextBegun;

    private boolean closing;
    private boolean inputEnded;

    /** When that was, by the monotonic clock. */
    private long endedAt;

    private volatile boolean asked;
    private boolean worked;

    /**
     * Whether the connection ends after the next answer; whether an answer has said that it was the
     * last.
     */
    private boolean last;

    private boolean told;
    private long since = System.nanoTime();

    /**
     * For tests alone: what its thread does when it has read, and before it says so. Null in
     * service.
     */
    volatile Runnable afterRead;

    ClientConnection(
            Socket socket,
            ClientListener listener,
            LoadBalancerActor module,
            RequestValidator admission,
            BufferPool buffers,
            BodySpillFiles spools,
            HttpWriter writer,
            WriteTimeoutWatchdog watchdog,
            Metrics figures,
            RateLimitedLog log) {
        this.socket = socket;
        this.listener = listener;
        this.module = module;
        this.admission = admission;
        this.buffers = buffers;
        this.spools = spools;
        this.writer = writer;
        this.watchdog = watchdog;
        this.figures = figures;
        this.log = log;
    }

    @Override
    public void run() {
        byte[] buffer = null;
        try {
            socket.setTcpNoDelay(true);
            buffer = buffers.take();
            HttpReader reader = new HttpReader(socket, buffer);
            synchronized (this) {
                coming = reader;
            }
            while (awaitRequest(reader) && serve(reader)) {
                // One request after the other.
            }
        } catch (IOException e) {
            // The client is gone; what it was owed is settled below.
        } finally {
            ClientRequest unanswered = unanswered();
            // Claimed before all else: it might just be about to be sent on.
            if (unanswered != null && unanswered.claim()) {
                figures.requestEnded();
                module.left(unanswered);
            }
            Sockets.close(socket);
            if (buffer != null) {
                buffers.give(buffer);
            }
            listener.ended(this);
        }
    }

    /**
     * The request that the client has left behind, if it was the client who ended the connection.
     */
    private synchronized ClientRequest unanswered() {
        // Ended from here just as a request had come whole, it looks the same, but the answer is
        // still owed.
        if (req != null && inputEnded) {
            // Nothing is read from here any more, so its leaving would not be seen.
            module.unseen(req, true);
        }
        while (req != null && inputEnded) {
            try {
                wait();
            } catch (InterruptedException e) {
                return req;
            }
        }
        return req;
    }

    /** Waits for the next request to begin; false when the connection is to end. */
    private boolean awaitRequest(HttpReader reader) throws IOException {
        for (boolean owed = owed(); owed || !reader.hasBufferedBytes(); owed = owed()) {
            try {
                // A request that comes before the last answer waits its turn. Its client may leave
                // all the
                // same: not read on, it was not noticed, and what it had asked for was sent on
                // after it had
                // gone.
                reader.setTimeout(
                        owed && reader.hasBufferedBytes()
                                ? READ_AHEAD_CHECK_MILLIS
                                : asked ? IDLE_TIMEOUT_MILLIS : READ_TIMEOUT_MILLIS);
                looks();
                if (!reader.readAhead()) {
                    return false;
                }
            } catch (SocketTimeoutException e) {
                if (!owed && !owed() && !reader.hasBufferedBytes()) {
                    return false;
                }
            }
            if (reader.discardedBytes() > 0) {
                lastOne();
            }
            nextBegun(owed && reader.hasBufferedBytes());
            if (reader.discardedBytes() > MAX_DISCARDED_BYTES) {
                awaitAnswer();
            }
        }
        Runnable held = afterRead;
        if (held != null) {
            held.run();
        }
        synchronized (this) {
            // What has been read is served, also where the connection was ended from here
            // meanwhile: its
            // client sends again only what was left unread. After an answer that said so nothing
            // more is due.
            nextBegun = false;
            reading = !told && reader.discardedBytes() == 0;
            since = System.nanoTime();
            return reading;
        }
    }

    private synchronized void nextBegun(boolean begun) {
        nextBegun = begun;
    }

    private synchronized void looks() {
        if (req != null) {
            req.looks();
        }
    }

    /**
     * Waits for the answer under way: whoever sends without end is read no further meanwhile, so
     * that nobody sees it leave.
     */
    private synchronized void awaitAnswer() throws IOException {
        if (req != null) {
            module.unseen(req, false);
        }
        while (req != null) {
            try {
                wait();
            } catch (InterruptedException e) {
                throw new IOException("interrupted while an answer was waited for", e);
            }
        }
    }

    /** Reads one request and brings it on its way; false when the connection is to end. */
    private boolean serve(HttpReader reader) throws IOException {
        MessageBody body = null;
        MessageHead head;
        RequestValidator.Asked judged = null;
        try {
            if (asked) {
                reader.setTimeout(READ_TIMEOUT_MILLIS);
            }
            asked = true;
            head = reader.readRequestHead();
            boolean health = head.target().equals("/_health");
            judged = health ? null : admission.asked(head);
            if (head.hasListElement("Expect", "100-continue")) {
                watchdog.write(socket, out -> out.write(CONTINUE_RESPONSE));
            }
            reader.setPacing(READ_TIMEOUT_MILLIS, MIN_BODY_BYTES_PER_SECOND);
            body = reader.readBody(buffers, spools, MessageBody.MAX_REQUEST_BYTES);
            if (reader.hasStrayBytes()) {
                body.release();
                throw new MalformedMessageException(400, "more than its length");
            }
        } catch (MalformedMessageException e) {
            refuse(e, reader);
            return false;
        } catch (SocketTimeoutException e) {
            refuse(new MalformedMessageException(408, "half a request"), reader);
            return false;
        } catch (BufferPool.ExhaustedException e) {
            // Closed without an answer, what has come whole by now would be lost.
            refuse(new MalformedMessageException(500, e.getMessage()), reader);
            return false;
        }
        boolean keep = head.keepsAlive(head.requestVersion());
        if (judged == null) {
            body.release();
            keep &= !last();
            answer(200, null, null, null, !keep);
            return keep;
        }
        if (late(reader)) {
            body.release();
            return false;
        }
        ClientRequest next;
        try {
            next =
                    admission.request(
                            this, judged, body, System.nanoTime() - reader.lastReadNanos());
        } catch (MalformedMessageException e) {
            body.release();
            refuse(e, reader);
            return false;
        }
        synchronized (this) {
            req = next;
            worked = true;
            reading = false;
            closing |= !keep;
        }
        figures.requestStarted();
        module.arrive(next);
        return true;
    }

    /**
     * Whether what came last was read after the connection had been ended from here: its client
     * takes it for unread and sends it again, so sent on it would be lost, or have its effect
     * twice.
     */
    private synchronized boolean late(HttpReader reader) {
        return inputEnded && reader.lastReadNanos() - endedAt > 0;
    }

    /** Ends the connection too: some send the same again at once, or hundreds of it in a row. */
    private void refuse(MalformedMessageException e, HttpReader reader) throws IOException {
        log.warn(
                "bad request",
                e.getMessage() + ", from " + socket.getInetAddress().getHostAddress());
        // What it says names the fault of this request alone, never what others have sent or may
        // send.
        watchdog.write(socket, out -> writer.writeErrorResponse(out, e.status(), e.getMessage()));
        socket.shutdownOutput();
        // Closed with bytes unread, the connection would take the answer with it.
        reader.setTimeout(REFUSAL_LINGER_MILLIS);
        reader.discard(MAX_DISCARDED_BYTES);
    }

    private void answer(int status, String name, String value, MessageBody body, boolean close)
            throws IOException {
        synchronized (this) {
            told |= close;
        }
        watchdog.write(socket, out -> writer.writeResponse(out, status, name, value, body, close));
        synchronized (this) {
            reading = false;
            since = System.nanoTime();
        }
    }

    /** The final answer to the request under way, by whoever has claimed it. */
    void finish(ClientRequest done, int status, String name, String value, MessageBody body) {
        boolean close;
        synchronized (this) {
            close = closing || last;
        }
        boolean whole = false;
        try {
            answer(status, name, value, body, close);
            whole = true;
            figures.responseSent(done.categoryName, done.tenantName, status, done.why);
        } catch (IOException e) {
            log.info("client gone", "an answer could not be written whole");
        }
        over(close || !whole);
    }

    /** The request under way is over, and with it perhaps the connection. */
    private void over(boolean close) {
        figures.requestEnded();
        synchronized (this) {
            req = null;
            reading = nextBegun;
            since = System.nanoTime();
            notifyAll();
        }
        // Only after an answer that has said so: a client that was told nothing may be sending its
        // next request. Who has been told to end meanwhile ends once it rests.
        if (close) {
            endReading();
        }
    }

    /**
     * Passes on a long answer as it comes, by whoever has claimed the request; its first part is in
     * hand, the reader has the rest. False when it could not be passed on whole: the client sees
     * that it is not.
     */
    boolean relay(ClientRequest done, MessageBody part, HttpReader rest) {
        long length = part.length() > 0 ? -1 : rest.declaredLength();
        boolean chunked = length < 0 && done.knowsChunks;
        boolean close;
        synchronized (this) {
            close = closing || last || (length < 0 && !chunked);
            told |= close;
        }
        boolean whole = false;
        try {
            watchdog.write(
                    socket,
                    out -> {
                        writer.beginRelay(out, length, chunked, part, close);
                        // The rest may take as long as the client likes; what is in hand would be
                        // missed by others.
                        part.release();
                        rest.setPacing(
                                RELAY_PAUSE_MILLIS, HttpReader.NEGLIGIBLE_RATE_BYTES_PER_SECOND);
                        rest.relayBody(
                                (from, at, count) ->
                                        writer.writeRelayed(out, chunked, from, at, count));
                        writer.endRelay(out, chunked);
                    });
            whole = true;
            figures.responseSent(done.categoryName, done.tenantName, 200, done.why);
        } catch (IOException e) {
            log.info("broken relay", "a long answer was not passed on whole: " + e.getMessage());
            figures.responseSent(done.categoryName, done.tenantName, 502, done.why);
            reset();
        }
        over(close || !whole);
        return whole;
    }

    /** Ends the connection so that nobody takes what has been sent for all of it. */
    private void reset() {
        try {
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            // It has ended already.
        }
        Sockets.close(socket);
    }

    /** Ends the connection after its next answer, however long that takes to be asked for. */
    synchronized void lastOne() {
        last = true;
    }

    synchronized boolean last() {
        return last;
    }

    /**
     * Ends the connection now if it rests, else after the answer that is under way or just about to
     * be asked for: closed before its first request, a new one would find that nobody serves.
     */
    void close() {
        synchronized (this) {
            closing = true;
            boolean awaitsFirstRequest = !asked && System.nanoTime() - since < FIRST_REQUEST_NANOS;
            if (reading || req != null || inputEnded || awaitsFirstRequest) {
                return;
            }
        }
        endReading();
    }

    /** Ends the connection at once, from any thread. */
    void abort() {
        Sockets.close(socket);
    }

    /** The thread sees the end of the stream and closes the socket, which is its own. */
    private void endReading() {
        synchronized (this) {
            endedAt = inputEnded ? endedAt : System.nanoTime();
            inputEnded = true;
        }
        try {
            socket.shutdownInput();
        } catch (IOException e) {
            // It is closed already.
        }
    }

    /** Since when it rests, or the last byte of what is being read came, by the monotonic clock. */
    synchronized long since() {
        return reading && coming != null ? coming.lastReadNanos() : since;
    }

    /** Whether it has ever brought a request. */
    synchronized boolean worked() {
        return worked;
    }

    /** Whether it has been told to end while it rested. */
    synchronized boolean ends() {
        return inputEnded;
    }

    /** Whether a request of its is under way. */
    synchronized boolean owed() {
        return req != null;
    }

    /** Ends it, unless a request is under way or may be just about to come in whole. */
    void giveWay() {
        synchronized (this) {
            if (req != null || (reading && System.nanoTime() - since() < PARTIAL_REQUEST_NANOS)) {
                return;
            }
            closing = true;
        }
        endReading();
    }

    /** Whether a request is being read or is under way. */
    synchronized boolean busy() {
        return reading || req != null;
    }
}
