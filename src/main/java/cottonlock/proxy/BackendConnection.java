package cottonlock.proxy;

import cottonlock.core.Ticks;
import cottonlock.decision.api.AttemptOutcome;
import cottonlock.proxy.concurrent.TickClock;
import cottonlock.proxy.http.HttpReader;
import cottonlock.proxy.http.MalformedMessageException;
import cottonlock.proxy.http.MessageBody;
import cottonlock.proxy.http.MessageHead;
import cottonlock.proxy.io.RateLimitedLog;
import cottonlock.proxy.io.Sockets;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;

/**
 * A connection to a backend. Its thread connects, sends the first attempt and reads; later attempts
 * are sent by the backend's actor or, if their body is long, by a worker thread.
 */
final class BackendConnection implements Runnable {
    /**
     * Maximum milliseconds of a pause in a response: some backends take seconds to write one in
     * pieces. A backend that stops midway would hold its request until no other attempt is
     * possible.
     */
    private static final long RESPONSE_PAUSE_MILLIS = 1_200;

    /**
     * Maximum milliseconds for which the first part of a response of unknown length is held back.
     */
    private static final long MAX_HOLD_BACK_MILLIS = 1_000;

    /** Milliseconds before its request's deadline by which a response must begin to be relayed. */
    private static final long RELAY_START_MILLIS = 20;

    /** The least that still keeps the network busy between two writes. */
    private static final int SMALL_SEND_BUFFER_BYTES = 16 << 10;

    private final BackendActor backend;
    private final InetSocketAddress address;
    private final BackendResources resources;
    private final TickClock clock;
    private final RateLimitedLog log;
    private final Socket socket = new Socket();
    private final ClientRequest.Attempt firstAttempt;

    /** When the connection last became idle, set by the actor; 0 before the first time. */
    long idleSinceNanos;

    private long sentAtNanos;
    private ClientRequest.Attempt current;
    private boolean writing;
    private boolean written;
    private boolean closed;

    /** Written by the thread that sends the last attempt, before it sends it. */
    private volatile boolean sendBufferLimited;

    BackendConnection(
            BackendActor backend,
            InetSocketAddress address,
            BackendResources resources,
            ClientRequest.Attempt firstAttempt) {
        this.backend = backend;
        this.address = address;
        this.resources = resources;
        this.clock = resources.clock();
        this.log = resources.log();
        this.firstAttempt = firstAttempt;
    }

    InetSocketAddress address() {
        return address;
    }

    @Override
    public void run() {
        byte[] buffer = null;
        try {
            if (firstAttempt.attach(this)) {
                current = firstAttempt;
                socket.setTcpNoDelay(true);
                socket.connect(address, resources.timeouts().socketConnectMillis());
                buffer = resources.buffers().take();
                HttpReader reader = new HttpReader(socket, buffer);
                if (send(firstAttempt)) {
                    while (reader.awaitSingleByte() && isResponseExpected() && exchange(reader)) {
                        // Reads one response after the other.
                    }
                }
            }
        } catch (MalformedMessageException e) {
            log.warn("bad answer", e.getMessage() + ", from " + address);
        } catch (IOException e) {
            // The attempt under way is settled below.
        } finally {
            closeAndSettle(buffer);
        }
    }

    /** The only place where the connection, its buffer and its permit are released. */
    private void closeAndSettle(byte[] buffer) {
        Sockets.close(socket);
        if (buffer != null) {
            resources.buffers().give(buffer);
        }
        ClientRequest.Attempt unfinished = null;
        long nanosAfterSend;
        synchronized (this) {
            closed = true;
            nanosAfterSend = System.nanoTime() - sentAtNanos;
            if (!writing) {
                // While the attempt is being written, its writer knows better how far it got.
                unfinished = current;
                current = null;
            }
        }
        if (unfinished != null) {
            if (unfinished != firstAttempt && !unfinished.isSettled()) {
                backend.reusedConnectionBroke(nanosAfterSend);
            }
            unfinished.settle(
                    written ? AttemptOutcome.CONNECTION_BROKEN : AttemptOutcome.CONNECT_FAILED);
        }
        backend.connectionClosed(this);
    }

    /**
     * Whether a response is expected; an unsolicited one would be taken for the response to the
     * next attempt.
     */
    private synchronized boolean isResponseExpected() {
        if (current == null) {
            closed = true;
            log.warn("surplus", "unsolicited response from " + address);
        }
        return current != null;
    }

    /** Sends an attempt; false when nothing more can be sent on this connection. */
    boolean send(ClientRequest.Attempt attempt) {
        synchronized (this) {
            if (closed || hasUnsolicitedBytes()) {
                return false;
            }
            current = attempt;
            sentAtNanos = System.nanoTime();
            writing = true;
            written = false;
        }
        AttemptOutcome failure = write(attempt);
        boolean closedMeanwhile;
        synchronized (this) {
            writing = false;
            written = failure == null;
            closedMeanwhile = closed;
            if (failure != null || closedMeanwhile) {
                current = null;
            }
        }
        if (failure != null) {
            attempt.settle(failure);
            Sockets.close(socket);
            return false;
        }
        if (closedMeanwhile) {
            // It was written completely, but the connection has ended; the backend may have read it
            // before that.
            attempt.settle(AttemptOutcome.CONNECTION_BROKEN);
        }
        return !closedMeanwhile;
    }

    /**
     * Whether unread bytes are available, which can't be the response to what is sent next. While
     * no attempt is under way the reading thread takes a single byte, so that it can't hide the
     * others.
     */
    private boolean hasUnsolicitedBytes() {
        try {
            return socket.getInputStream().available() > 0;
        } catch (IOException e) {
            return true;
        }
    }

    /**
     * Writes the request completely and returns null, or returns why its last byte was never
     * written.
     */
    private AttemptOutcome write(ClientRequest.Attempt attempt) {
        attempt.req.awaitClientCheck();
        if (!attempt.req.retainBody()) {
            return AttemptOutcome.NOT_SENT;
        }
        try {
            if (!backend.isReady()) {
                // It waited in a mailbox or for a connection; the backend may have begun to drain
                // meanwhile.
                return AttemptOutcome.NOT_SENT;
            }
            boolean holdsBack = attempt.isBoundByWindow() && attempt.req.body.isInFile();
            if (holdsBack) {
                limitUnreadBytes();
            }
            long remainingTicks = Math.max(0, attempt.sendByTicks - clock.now());
            resources
                    .watchdog()
                    .write(
                            socket,
                            Ticks.toMillis(remainingTicks),
                            out -> writeRequest(out, attempt, holdsBack));
            resources.metrics().attemptSent();
            return null;
        } catch (AttemptOutputStream.GivenUpException e) {
            return AttemptOutcome.NOT_SENT;
        } catch (IOException e) {
            long now = clock.now();
            return now >= attempt.sendByTicks || !attempt.mayStart(now)
                    ? AttemptOutcome.NOT_SENT
                    : AttemptOutcome.CONNECT_FAILED;
        } finally {
            attempt.req.releaseBody();
        }
    }

    private void writeRequest(OutputStream out, ClientRequest.Attempt attempt, boolean holdsBack)
            throws IOException {
        String host = address.getHostString() + ":" + address.getPort();
        AttemptOutputStream request = new AttemptOutputStream(out, attempt, clock, holdsBack);
        resources
                .writer()
                .writeRequest(
                        request,
                        attempt.req.outbound(),
                        host,
                        () -> Math.max(1, (attempt.req.deadlineTicks - clock.now()) / 10));
        request.finish();
    }

    /**
     * Makes this system take in little more than the backend has read, so that writing shows its
     * pace. The connection serves no further attempt, which might need a larger buffer.
     */
    private void limitUnreadBytes() {
        sendBufferLimited = true;
        Sockets.limitSendBuffer(socket, SMALL_SEND_BUFFER_BYTES);
    }

    /** Reads one response; false when the connection is to end. */
    private boolean exchange(HttpReader reader) throws IOException, MalformedMessageException {
        reader.setTimeout(0);
        MessageHead head = reader.readResponseHead(RESPONSE_PAUSE_MILLIS);
        if (!reader.isBodyBuffered()) {
            reportResponseBegun();
        }
        MessageBody body =
                reader.readBodyStart(resources.buffers(), System.nanoTime() + maxHoldBackNanos());
        try {
            ClientRequest.Attempt attempt;
            boolean keepAlive = head.keepsAlive(head.responseVersion());
            synchronized (this) {
                attempt = current;
                current = null;
                keepAlive &= !writing && !sendBufferLimited;
            }
            if (attempt == null) {
                return false;
            }
            boolean forwarded = forwardResponse(attempt, head, body, reader);
            reader.setTimeout(0);
            if (!forwarded) {
                return false;
            }
            if (keepAlive && reader.hasSurplusBytes()) {
                // A duplicate or noise: the next attempt on this connection would be answered with
                // it.
                log.warn("surplus", "more bytes than the response from " + address);
                return false;
            }
            if (keepAlive) {
                backend.onIdle(this);
            }
            return keepAlive;
        } finally {
            body.release();
        }
    }

    /**
     * Reports that the backend has begun to respond: until its response has been read or is passed
     * on, it would be taken for silent.
     */
    private synchronized void reportResponseBegun() {
        if (current != null) {
            current.responseBegun();
        }
    }

    /**
     * How long the first part of a response of unknown length may be held back: the client must
     * have its beginning in time. Only while it is held back, another attempt can be made.
     */
    private synchronized long maxHoldBackNanos() {
        long maxTicks = Ticks.ofMillis(MAX_HOLD_BACK_MILLIS);
        if (current != null) {
            long remainingTicks = current.req.deadlineTicks - clock.now();
            maxTicks = Math.min(maxTicks, remainingTicks - Ticks.ofMillis(RELAY_START_MILLIS));
        }
        return Math.max(0, maxTicks) * Ticks.NANOSECONDS_PER_TICK;
    }

    /** Settles the attempt and forwards its response; false when some of it is left unread. */
    private boolean forwardResponse(
            ClientRequest.Attempt attempt, MessageHead head, MessageBody body, HttpReader reader)
            throws MalformedMessageException {
        int status = Integer.parseInt(head.status());
        boolean notProcessed = "1".equals(head.singleValue("X-Not-Processed"));
        if (status != 200) {
            attempt.settle(
                    (status == 503 || status == 504) && notProcessed
                            ? AttemptOutcome.REJECTED
                            : AttemptOutcome.ERROR);
            return reader.isBodyComplete();
        }
        // Claimed first: the load balancer must learn that this attempt ended the request.
        boolean responseOwed = attempt.req.claim();
        attempt.settle(AttemptOutcome.COMPLETED);
        if (!reader.isBodyComplete()) {
            // Once it has begun, the response is the client's: no other attempt could answer the
            // request, nor would one be needed.
            return responseOwed && attempt.req.client.relay(attempt.req, body, reader);
        }
        if (responseOwed) {
            attempt.req.client.sendResponse(attempt.req, 200, null, null, body);
        }
        return true;
    }

    /** Ends the connection at once, from any thread. */
    void closeNow() {
        Sockets.close(socket);
    }
}
