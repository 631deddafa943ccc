package cottonlock.proxy;

import cottonlock.admin.Metrics;
import cottonlock.core.Ticks;
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
import java.util.concurrent.TimeUnit;

/**
 * A connection of a client. Its thread keeps reading while a request is under way, so that a
 * disconnect is noticed; responses are written by the threads that have them.
 */
final class ClientConnection implements Runnable {
    /**
     * Idle timeout between requests in milliseconds: many clients send one request and keep the
     * connection open, and may be disconnected after two seconds.
     */
    private static final long IDLE_TIMEOUT_MILLIS = 2_200;

    /**
     * Milliseconds for a request head, counted from connecting for the first one, and for a pause
     * in a body: slow clients take two seconds, and incomplete requests must not accumulate.
     */
    private static final long READ_TIMEOUT_MILLIS = 2_600;

    /**
     * Minimum rate of a request body in bytes per second: slightly below that of the slowest
     * clients.
     */
    private static final long MIN_BODY_BYTES_PER_SECOND = 48 << 10;

    /**
     * Milliseconds of silence after which a connection with an incomplete request may be evicted:
     * many of them must not hold all slots.
     */
    static final long PARTIAL_REQUEST_MILLIS = 250;

    /**
     * Nanoseconds after connecting within which the first request begins: the round trip of a
     * distant network.
     */
    private static final long FIRST_REQUEST_NANOS = 300_000_000L;

    /**
     * Nanoseconds after connecting within which a connection is not evicted: a client that sends
     * its request at once may be scheduled late.
     */
    private static final long MIN_LIFETIME_NANOS = 100_000_000L;

    /**
     * Milliseconds between reads of a connection on which a pipelined request waits for the
     * response before it, and how long each of them waits for input.
     */
    private static final long READ_AHEAD_INTERVAL_MILLIS = 20;

    private static final long READ_AHEAD_MILLIS = 1;

    /**
     * Maximum milliseconds that a backend may pause within a long response: some take seconds to
     * continue.
     */
    private static final long RELAY_PAUSE_MILLIS = 5_000;

    /** Bytes of a long response that the system takes in: a third of it is soon read. */
    private static final int RELAY_SEND_BUFFER_BYTES = 128 << 10;

    /**
     * Nanoseconds that a client waits at most, without being read, for space for the rest of its
     * body: its request has no deadline before its last byte is sent.
     */
    private static final long MAX_SPACE_WAIT_NANOS = 30_000_000_000L;

    private static final byte[] CONTINUE_RESPONSE =
            "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private final Socket socket;
    private final ClientListener listener;
    private final LoadBalancerActor loadBalancer;
    private final RequestValidator validator;
    private final BufferPool buffers;
    private final BodySpillFiles spillFiles;
    private final HttpWriter writer;
    private final WriteTimeoutWatchdog watchdog;
    private final Metrics metrics;
    private final RateLimitedLog log;
    private final RequestRefuser refuser;
    private ClientRequest req;
    private HttpReader inputReader;
    private boolean reading;

    /** Whether part of the next request has been read while the last response is pending. */
    private boolean nextRequestStarted;

    private boolean closing;
    private boolean inputShutDown;

    /** When the input was shut down, by the monotonic clock. */
    private long inputShutDownNanos;

    /** Whether a wait for space for a body is to end at once, with a refusal. */
    private volatile boolean spaceWaitCancelled;

    /** Whether the request being read is to be refused, since its memory is needed. */
    private boolean cancelled;

    private volatile boolean firstRequestStarted;
    private boolean requestSubmitted;

    /**
     * Whether the connection ends after the next response. {@code closeAnnounced}: whether a
     * response has announced the end, or could not be written, so that nothing more is served.
     */
    private boolean closeAfterResponse;

    private boolean closeAnnounced;
    private long lastActivityNanos = System.nanoTime();

    /**
     * For tests only: run by the connection's thread after it has read input and before it records
     * that. Null in production.
     */
    volatile Runnable afterReadHook;

    ClientConnection(
            Socket socket,
            ClientListener listener,
            LoadBalancerActor loadBalancer,
            RequestValidator validator,
            BufferPool buffers,
            BodySpillFiles spillFiles,
            HttpWriter writer,
            WriteTimeoutWatchdog watchdog,
            Metrics metrics,
            RateLimitedLog log) {
        this.socket = socket;
        this.listener = listener;
        this.loadBalancer = loadBalancer;
        this.validator = validator;
        this.buffers = buffers;
        this.spillFiles = spillFiles;
        this.writer = writer;
        this.watchdog = watchdog;
        this.metrics = metrics;
        this.log = log;
        this.refuser = new RequestRefuser(socket, writer, watchdog, metrics, log);
    }

    @Override
    public void run() {
        byte[] buffer = null;
        HttpReader reader = null;
        try {
            socket.setTcpNoDelay(true);
            buffer = buffers.take();
            reader = new HttpReader(socket, buffer, buffers);
            synchronized (this) {
                inputReader = reader;
            }
            while (awaitRequest(reader) && serve(reader)) {
                // Serves one request after the other.
            }
        } catch (IOException e) {
            // The client has disconnected; its open request is settled below.
        } finally {
            ClientRequest abandoned = abandonedRequest();
            // Claimed before all else: an attempt may be about to start.
            if (abandoned != null && abandoned.claim()) {
                metrics.requestEnded();
                loadBalancer.clientDisconnected(abandoned);
            }
            Sockets.close(socket);
            if (reader != null) {
                reader.releaseReadAhead();
            }
            if (buffer != null) {
                buffers.give(buffer);
            }
            listener.connectionClosed(this);
        }
    }

    /**
     * Returns the open request of a client that has disconnected, or null. If this side shut the
     * input down, waits for the response first.
     */
    private synchronized ClientRequest abandonedRequest() {
        // If this side shut the input down just after a request was read completely, the stream
        // looks the same, but the response is still owed.
        if (req != null && inputShutDown) {
            // The connection is not read any more, so a disconnect would go unnoticed.
            loadBalancer.inputShutDown(req);
        }
        while (req != null && inputShutDown) {
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
        for (boolean responseOwed = hasOpenRequest();
                responseOwed || !reader.hasBufferedBytes();
                responseOwed = hasOpenRequest()) {
            boolean nextStarted = responseOwed && reader.hasBufferedBytes();
            setNextRequestStarted(nextStarted);
            reader.setTimeout(
                    nextStarted
                            ? READ_AHEAD_MILLIS
                            : firstRequestStarted ? IDLE_TIMEOUT_MILLIS : READ_TIMEOUT_MILLIS);
            if (reader.hasCaughtUp()) {
                markClientChecked();
            }
            // A pipelined request waits for the response before it. Its client may disconnect
            // meanwhile: when the connection was not read on, this went unnoticed, and the request
            // was sent to a backend after its client had left.
            switch (reader.readAhead()) {
                case END_OF_STREAM -> {
                    return false;
                }
                case TIMED_OUT -> {
                    if (nextStarted) {
                        awaitResponse(READ_AHEAD_INTERVAL_MILLIS);
                    } else if (!responseOwed && !hasOpenRequest()) {
                        return false;
                    }
                }
                case NO_SPACE -> awaitResponseUnobserved(reader.caughtUpNanos());
                default -> {
                    // The request is parsed when the response before it has been written.
                }
            }
        }
        Runnable hook = afterReadHook;
        if (hook != null) {
            hook.run();
        }
        synchronized (this) {
            // Input that has been read is served even if this side shut the input down meanwhile:
            // the client sends again only what was left unread. After a response that announced the
            // end, nothing more is served.
            nextRequestStarted = false;
            reading = !closeAnnounced;
            lastActivityNanos = System.nanoTime();
            return reading;
        }
    }

    /** When the request that is being read was found to have begun, by the monotonic clock. */
    private synchronized long requestBegunNanos() {
        return lastActivityNanos;
    }

    private synchronized void setNextRequestStarted(boolean started) {
        nextRequestStarted = started;
    }

    private synchronized void markClientChecked() {
        if (req != null) {
            req.markClientChecked();
        }
    }

    /**
     * Waits for the response under way. A client that sends without end is not read meanwhile, so
     * its disconnect would go unnoticed.
     *
     * @param observedNanos when the client was last known to be there, by the monotonic clock
     */
    private synchronized void awaitResponseUnobserved(long observedNanos) throws IOException {
        if (req != null) {
            loadBalancer.clientUnobserved(req, System.nanoTime() - observedNanos);
            req.markClientChecked();
        }
        while (req != null) {
            awaitResponse(0);
        }
    }

    /** Waits for the response under way, for a limited time; 0: without a limit. */
    private synchronized void awaitResponse(long maxMillis) throws IOException {
        try {
            if (req != null) {
                wait(maxMillis);
            }
        } catch (InterruptedException e) {
            throw new IOException("interrupted while waiting for a response", e);
        }
    }

    /** Reads one request and submits it; false when the connection is to end. */
    private boolean serve(HttpReader reader) throws IOException {
        MessageBody body = null;
        MessageHead head;
        RequestValidator.ValidatedHead validated = null;
        try {
            if (firstRequestStarted) {
                reader.setTimeout(READ_TIMEOUT_MILLIS);
            }
            firstRequestStarted = true;
            reader.setCancellable(true);
            head = reader.readRequestHead();
            boolean isHealthCheck = head.target().equals("/_health");
            validated =
                    isHealthCheck
                            ? null
                            : validator.validate(head, System.nanoTime() - requestBegunNanos());
            if (head.hasListElement("Expect", "100-continue")) {
                watchdog.write(socket, out -> out.write(CONTINUE_RESPONSE));
            }
            reader.setPacing(READ_TIMEOUT_MILLIS, MIN_BODY_BYTES_PER_SECOND);
            body = readBody(reader, validated);
            if (reader.hasStrayBytes()) {
                body.release();
                throw new MalformedMessageException(400, "more than its length");
            }
        } catch (MalformedMessageException e) {
            refuser.refuse(e, reader);
            return false;
        } catch (SocketTimeoutException e) {
            refuser.refuse(new MalformedMessageException(408, "half a request"), reader);
            return false;
        } catch (BufferPool.ExhaustedException e) {
            reader.setCancellable(false);
            refuser.refuseForLackOfMemory(e, validated, reader, isCancelled());
            return false;
        } finally {
            reader.setCancellable(false);
        }
        boolean keepAlive = head.keepsAlive(head.requestVersion());
        if (validated == null) {
            body.release();
            keepAlive &= !closesAfterResponse();
            writeResponse(200, null, null, null, !keepAlive);
            return keepAlive;
        }
        if (isReadAfterShutdown(reader)) {
            body.release();
            return false;
        }
        ClientRequest request;
        try {
            request =
                    validator.createRequest(
                            this,
                            validated,
                            body,
                            System.nanoTime() - reader.earliestArrivalNanos());
        } catch (MalformedMessageException e) {
            body.release();
            refuser.refuse(e, reader);
            return false;
        }
        synchronized (this) {
            req = request;
            requestSubmitted = true;
            reading = false;
            closing |= !keepAlive;
        }
        metrics.requestStarted();
        loadBalancer.requestReceived(request);
        return true;
    }

    /**
     * Reads the body of a request.
     *
     * @param validated its head; null for a health check, which does not wait for space
     */
    private MessageBody readBody(HttpReader reader, RequestValidator.ValidatedHead validated)
            throws IOException, MalformedMessageException {
        spaceWaitCancelled = false;
        long timeoutNanos = validated == null ? 0 : Ticks.toNanos(validated.timeoutTicks());
        return reader.readBody(
                buffers,
                spillFiles,
                MessageBody.MAX_REQUEST_BYTES,
                (waitedNanos, mayBeSent) ->
                        mayWaitForSpace(
                                waitedNanos, mayBeSent ? timeoutNanos : MAX_SPACE_WAIT_NANOS));
    }

    private boolean mayWaitForSpace(long waitedNanos, long maxWaitNanos) {
        log.info("long bodies", "the memory limit leaves no space for a body, which waits");
        return !spaceWaitCancelled && waitedNanos < maxWaitNanos && validator.mayAccept();
    }

    /**
     * Whether the last input was read after this side shut the input down: the client takes it for
     * unread and sends it again, so that it would be lost or executed twice if it were served.
     */
    private synchronized boolean isReadAfterShutdown(HttpReader reader) {
        return inputShutDown && reader.lastParsedReadNanos() - inputShutDownNanos > 0;
    }

    private void writeResponse(
            int status, String headerName, String headerValue, MessageBody body, boolean close)
            throws IOException {
        synchronized (this) {
            closeAnnounced |= close;
        }
        watchdog.write(
                socket,
                out -> writer.writeResponse(out, status, headerName, headerValue, body, close));
        synchronized (this) {
            reading = false;
            lastActivityNanos = System.nanoTime();
        }
    }

    /**
     * Writes the final response to the open request, which must have been claimed. Called at most
     * once for each request, by any thread.
     */
    void sendResponse(
            ClientRequest request,
            int status,
            String headerName,
            String headerValue,
            MessageBody body) {
        boolean close;
        synchronized (this) {
            close = closing || closeAfterResponse;
        }
        boolean complete = false;
        try {
            writeResponse(status, headerName, headerValue, body, close);
            complete = true;
            metrics.responseSent(
                    request.requestClassName, request.tenantName, status, request.rejectionReason);
        } catch (IOException e) {
            log.info("client gone", "a response could not be written completely");
        }
        endRequest(close || !complete);
    }

    /** Ends the open request, and the connection if it is to close. */
    private void endRequest(boolean close) {
        metrics.requestEnded();
        synchronized (this) {
            // Before the connection's thread goes on: it may have read the next request already.
            closeAnnounced |= close;
            req = null;
            reading = nextRequestStarted;
            lastActivityNanos = System.nanoTime();
            notifyAll();
        }
        // Only after a response that announced the end: otherwise the client may be sending its
        // next request. A connection that was asked to close meanwhile is closed once it is idle.
        if (close) {
            shutDownInput();
        }
    }

    /**
     * Relays a long response as it arrives. Called by the thread that has claimed the request.
     *
     * @param firstPart the part of the body that has been read
     * @param remainder reads the rest of the body
     * @return false if the response could not be relayed completely, which the client can detect
     */
    boolean relay(ClientRequest request, MessageBody firstPart, HttpReader remainder) {
        long length = firstPart.length() > 0 ? -1 : remainder.declaredLength();
        boolean chunked = length < 0 && request.acceptsChunked;
        boolean close;
        synchronized (this) {
            close = closing || closeAfterResponse || (length < 0 && !chunked);
            closeAnnounced |= close;
        }
        boolean complete = false;
        try {
            // A blocked writer goes on when a third of the buffer is free: with the buffer that the
            // system would choose, a client that reads steadily seems to have stopped.
            Sockets.limitSendBuffer(socket, RELAY_SEND_BUFFER_BYTES);
            watchdog.write(
                    socket,
                    out -> {
                        writer.beginRelay(out, length, chunked, firstPart, close);
                        // The rest may take as long as the client likes, and other connections need
                        // these buffers.
                        firstPart.release();
                        remainder.setPacing(
                                RELAY_PAUSE_MILLIS, HttpReader.NEGLIGIBLE_RATE_BYTES_PER_SECOND);
                        remainder.relayBody(
                                (bytes, offset, count) ->
                                        writer.writeRelayed(out, chunked, bytes, offset, count));
                        writer.endRelay(out, chunked);
                    });
            complete = true;
            metrics.responseSent(
                    request.requestClassName, request.tenantName, 200, request.rejectionReason);
        } catch (IOException e) {
            log.info(
                    "broken relay",
                    "a long response was not relayed completely: " + e.getMessage());
            metrics.responseSent(
                    request.requestClassName, request.tenantName, 502, request.rejectionReason);
            reset();
        }
        endRequest(close || !complete);
        return complete;
    }

    /** Resets the connection, so that what has been sent is not taken for the complete response. */
    private void reset() {
        try {
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            // It is closed already.
        }
        Sockets.close(socket);
    }

    /** Ends the connection after its next response, however late the request for it arrives. */
    synchronized void closeAfterNextResponse() {
        closeAfterResponse = true;
    }

    synchronized boolean closesAfterResponse() {
        return closeAfterResponse;
    }

    /**
     * Ends the connection now if it is idle, else after the response that is under way or about to
     * be requested. A new connection has time for its first request: closed before that, its client
     * would find no server.
     */
    void close() {
        synchronized (this) {
            closing = true;
            boolean awaitsFirstRequest =
                    !firstRequestStarted
                            && System.nanoTime() - lastActivityNanos < FIRST_REQUEST_NANOS;
            if (reading || req != null || inputShutDown || awaitsFirstRequest) {
                return;
            }
        }
        shutDownInput();
    }

    /** Ends the connection at once, from any thread. */
    void abort() {
        Sockets.close(socket);
    }

    /**
     * Shuts the input down: the connection's thread sees the end of the stream and closes the
     * socket, which it owns.
     */
    private void shutDownInput() {
        synchronized (this) {
            inputShutDownNanos = inputShutDown ? inputShutDownNanos : System.nanoTime();
            inputShutDown = true;
        }
        try {
            socket.shutdownInput();
        } catch (IOException e) {
            // It is closed already.
        }
    }

    /**
     * When the connection became idle or, while a request is being read, when its last byte was
     * read; by the monotonic clock.
     */
    synchronized long lastActivityNanos() {
        return reading && inputReader != null ? inputReader.lastReadNanos() : lastActivityNanos;
    }

    /** Whether the connection has ever submitted a request. */
    synchronized boolean hasSubmittedRequest() {
        return requestSubmitted;
    }

    /** Whether this side has shut the input down. */
    synchronized boolean isInputShutDown() {
        return inputShutDown;
    }

    /** Whether a request of this connection is open. */
    synchronized boolean hasOpenRequest() {
        return req != null;
    }

    /**
     * Ends the connection, unless a request is open or may be about to arrive completely. A request
     * that is not read for lack of space is refused at once.
     *
     * @return whether the connection ends
     */
    boolean evictUnlessActive() {
        synchronized (this) {
            if (isAwaitingSpace()) {
                spaceWaitCancelled = true;
                return true;
            }
            if (isActive()) {
                return false;
            }
            closing = true;
        }
        shutDownInput();
        return true;
    }

    /**
     * Refuses the request that is being read, unless it has been read completely: its client gets
     * its answer with the next bytes that it sends.
     *
     * @return whether the connection ends
     */
    boolean refuseRequestBeingRead() {
        synchronized (this) {
            if (!reading || req != null || inputReader == null) {
                return false;
            }
            cancelled = true;
            inputReader.cancel();
            return true;
        }
    }

    /** Whether the request that was being read was to be refused. */
    synchronized boolean isCancelled() {
        return cancelled;
    }

    private synchronized boolean isActive() {
        long idleNanos = System.nanoTime() - lastActivityNanos();
        boolean isNew = !firstRequestStarted && !inputShutDown && idleNanos < MIN_LIFETIME_NANOS;
        boolean isPartRecent =
                reading && idleNanos < TimeUnit.MILLISECONDS.toNanos(PARTIAL_REQUEST_MILLIS);
        return req != null || isNew || isPartRecent || hasUnreadInput();
    }

    /** Whether bytes have arrived that are not read yet; none count once the input is shut down. */
    private boolean hasUnreadInput() {
        try {
            return socket.getInputStream().available() > 0;
        } catch (IOException e) {
            return false;
        }
    }

    /** Whether the client is not read because there is no space for its body. */
    synchronized boolean isAwaitingSpace() {
        return inputReader != null && inputReader.isAwaitingSpace();
    }

    /** Whether a request is being read or is open. */
    synchronized boolean isBusy() {
        return reading || req != null;
    }
}
