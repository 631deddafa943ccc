package cottonlock.proxy;

import cottonlock.admin.Metrics;
import cottonlock.decision.api.AttemptOutcome;
import cottonlock.proxy.concurrent.TickClock;
import cottonlock.proxy.http.BufferPool;
import cottonlock.proxy.http.HttpReader;
import cottonlock.proxy.http.HttpWriter;
import cottonlock.proxy.http.MalformedMessageException;
import cottonlock.proxy.http.MessageBody;
import cottonlock.proxy.http.MessageHead;
import cottonlock.proxy.io.RateLimitedLog;
import cottonlock.proxy.io.Sockets;
import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;

/**
 * One connection to a backend. Its thread connects and reads; the backend's actor writes on it
 * later.
 */
final class BackendConnection implements Runnable {
    /**
     * Milliseconds of a pause in an answer: some backends take seconds to write it, in pieces. One
     * that stops short would hold its request until nothing else can be tried any more.
     */
    private static final long RESPONSE_PAUSE_MILLIS = 1_200;

    private final BackendActor backend;
    private final InetSocketAddress address;
    private final int connectLimit;
    private final BufferPool buffers;
    private final HttpWriter writer;
    private final WriteTimeoutWatchdog watchdog;
    private final TickClock clock;
    private final Metrics figures;
    private final RateLimitedLog log;
    private final Socket socket = new Socket();
    private final ClientRequest.Attempt first;

    /** When it last began to rest, for the actor; 0 before it first does. */
    long restingSince;

    private long sentAt;
    private ClientRequest.Attempt current;
    private boolean writing;
    private boolean written;
    private boolean ended;

    BackendConnection(
            BackendActor backend,
            InetSocketAddress address,
            int connectLimit,
            BufferPool buffers,
            HttpWriter writer,
            WriteTimeoutWatchdog watchdog,
            TickClock clock,
            Metrics figures,
            RateLimitedLog log,
            ClientRequest.Attempt first) {
        this.backend = backend;
        this.address = address;
        this.connectLimit = connectLimit;
        this.buffers = buffers;
        this.writer = writer;
        this.watchdog = watchdog;
        this.clock = clock;
        this.figures = figures;
        this.log = log;
        this.first = first;
    }

    InetSocketAddress address() {
        return address;
    }

    @Override
    public void run() {
        byte[] buffer = null;
        try {
            if (first.attach(this)) {
                current = first;
                socket.setTcpNoDelay(true);
                socket.connect(address, connectLimit);
                buffer = buffers.take();
                HttpReader reader = new HttpReader(socket, buffer);
                if (send(first)) {
                    while (reader.awaitSingleByte() && expects() && exchange(reader)) {
                        // One attempt after the other.
                    }
                }
            }
        } catch (MalformedMessageException e) {
            log.warn("bad answer", e.getMessage() + ", from " + address);
        } catch (IOException e) {
            // What was under way is settled below.
        } finally {
            end(buffer);
        }
    }

    /** The one place where the connection, its buffer and its permit are given back. */
    private void end(byte[] buffer) {
        Sockets.close(socket);
        if (buffer != null) {
            buffers.give(buffer);
        }
        ClientRequest.Attempt broken = null;
        long after;
        synchronized (this) {
            ended = true;
            after = System.nanoTime() - sentAt;
            if (!writing) {
                // While it is being written the writer knows better how far it got.
                broken = current;
                current = null;
            }
        }
        if (broken != null) {
            if (broken != first && !broken.settled()) {
                backend.brokeWhenUsedAgain(after);
            }
            broken.settle(
                    written ? AttemptOutcome.CONNECTION_BROKEN : AttemptOutcome.CONNECT_FAILED);
        }
        backend.ended(this);
    }

    /**
     * Whether an answer is due; what comes unasked would be taken for the answer to the next
     * attempt.
     */
    private synchronized boolean expects() {
        if (current == null) {
            ended = true;
            log.warn("surplus", "an answer that was not asked for, from " + address);
        }
        return current != null;
    }

    /** Writes an attempt; false when nothing more can go out on this connection. */
    boolean send(ClientRequest.Attempt attempt) {
        synchronized (this) {
            if (ended || unasked()) {
                return false;
            }
            current = attempt;
            sentAt = System.nanoTime();
            writing = true;
            written = false;
        }
        AttemptOutcome skipped = write(attempt);
        boolean over;
        synchronized (this) {
            writing = false;
            written = skipped == null;
            over = ended;
            if (skipped != null || over) {
                current = null;
            }
        }
        if (skipped != null) {
            attempt.settle(skipped);
            Sockets.close(socket);
            return false;
        }
        if (over) {
            // It went out whole, but the other side had ended: it may have been read before that.
            attempt.settle(AttemptOutcome.CONNECTION_BROKEN);
        }
        return !over;
    }

    /**
     * Whether something lies there to be read already, which can't be the answer to what is sent
     * next. The thread that reads takes one byte only while nothing is out, so that it cannot hide
     * the others.
     */
    private boolean unasked() {
        try {
            return socket.getInputStream().available() > 0;
        } catch (IOException e) {
            return true;
        }
    }

    /** Writes it whole and returns null, or tells why its last byte was never written. */
    private AttemptOutcome write(ClientRequest.Attempt attempt) {
        attempt.req.awaitLook();
        if (!attempt.req.hold()) {
            return AttemptOutcome.NOT_SENT;
        }
        try {
            if (!backend.ready()) {
                // It waited in a mailbox or for a connection: meanwhile a drain may have been told.
                return AttemptOutcome.NOT_SENT;
            }
            String host = address.getHostString() + ":" + address.getPort();
            watchdog.write(
                    socket,
                    out ->
                            writer.writeRequest(
                                    new Until(out, attempt),
                                    attempt.req.outbound(),
                                    host,
                                    () -> Math.max(1, (attempt.req.expiry - clock.now()) / 10)));
            figures.attemptSent();
            return null;
        } catch (IOException e) {
            long now = clock.now();
            return now >= attempt.sendBy || !attempt.mayBegin(now)
                    ? AttemptOutcome.NOT_SENT
                    : AttemptOutcome.CONNECT_FAILED;
        } finally {
            attempt.req.release();
        }
    }

    /** Fails before it writes anything too late: short of its last byte, a request never runs. */
    private final class Until extends FilterOutputStream {
        private final ClientRequest.Attempt attempt;
        private boolean begun;

        Until(OutputStream out, ClientRequest.Attempt attempt) {
            super(out);
            this.attempt = attempt;
        }

        @Override
        public void write(byte[] bytes, int from, int count) throws IOException {
            long now = clock.now();
            if (now >= attempt.sendBy || (!begun && !attempt.mayBegin(now))) {
                throw new IOException("too late to be sent, or for nobody");
            }
            begun = true;
            out.write(bytes, from, count);
        }
    }

    /** Reads one answer; false when the connection is to end. */
    private boolean exchange(HttpReader reader) throws IOException, MalformedMessageException {
        reader.setTimeout(0);
        MessageHead head = reader.readResponseHead(RESPONSE_PAUSE_MILLIS);
        MessageBody body = reader.readBodyStart(buffers);
        try {
            ClientRequest.Attempt attempt;
            boolean keep = head.keepsAlive(head.responseVersion());
            synchronized (this) {
                attempt = current;
                current = null;
                keep &= !writing;
            }
            if (attempt == null) {
                return false;
            }
            boolean passed = pass(attempt, head, body, reader);
            reader.setTimeout(0);
            if (!passed) {
                return false;
            }
            if (keep && reader.hasSurplusBytes()) {
                // A second copy or noise: the next attempt on this connection would be answered
                // with it.
                log.warn("surplus", "more than its answer, from " + address);
                return false;
            }
            if (keep) {
                backend.rests(this);
            }
            return keep;
        } finally {
            body.release();
        }
    }

    /** Settles the attempt and passes its answer on; false when some of it is left unread. */
    private boolean pass(
            ClientRequest.Attempt attempt, MessageHead head, MessageBody body, HttpReader reader)
            throws MalformedMessageException {
        int status = Integer.parseInt(head.status());
        boolean notRun = "1".equals(head.singleValue("X-Not-Processed"));
        if (status != 200) {
            attempt.settle(
                    (status == 503 || status == 504) && notRun
                            ? AttemptOutcome.REJECTED
                            : AttemptOutcome.ERROR);
            return reader.isBodyComplete();
        }
        // Claimed first: the module must learn that the request is over, by this attempt.
        boolean owed = attempt.req.claim();
        attempt.settle(AttemptOutcome.COMPLETED);
        if (!reader.isBodyComplete()) {
            // Begun, it is the client's: no other attempt could answer it any more, nor would one
            // be needed.
            return owed && attempt.req.client.relay(attempt.req, body, reader);
        }
        if (owed) {
            attempt.req.client.finish(attempt.req, 200, null, null, body);
        }
        return true;
    }

    /** Ends the connection at once, from any thread. */
    void kill() {
        Sockets.close(socket);
    }
}
