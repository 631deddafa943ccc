package cottonlock.proxy;

import cottonlock.admin.Metrics;
import cottonlock.decision.api.RejectionReason;
import cottonlock.proxy.http.BufferPool;
import cottonlock.proxy.http.HttpReader;
import cottonlock.proxy.http.HttpWriter;
import cottonlock.proxy.http.MalformedMessageException;
import cottonlock.proxy.http.MessageBody;
import cottonlock.proxy.io.RateLimitedLog;
import java.io.IOException;
import java.net.Socket;

/**
 * Refuses requests that can't be accepted, as the last response on a client's connection. Used by
 * the connection's thread.
 */
final class RequestRefuser {
    /**
     * Maximum number of bytes that are read and discarded: what the buffers of one connection hold.
     * Reading on through 60 MB slows down the other clients.
     */
    static final int MAX_DISCARDED_BYTES = 256 << 10;

    /**
     * Milliseconds during which input after a refused request is discarded, so that the client sees
     * the response before the connection ends.
     */
    private static final long LINGER_MILLIS = 300;

    /** Milliseconds during which the rest of a body is discarded for which there was no memory. */
    private static final long DISCARD_BODY_MILLIS = 2_000;

    private static final int SERVICE_UNAVAILABLE = 503;

    private final Socket socket;
    private final HttpWriter writer;
    private final WriteTimeoutWatchdog watchdog;
    private final Metrics metrics;
    private final RateLimitedLog log;

    RequestRefuser(
            Socket socket,
            HttpWriter writer,
            WriteTimeoutWatchdog watchdog,
            Metrics metrics,
            RateLimitedLog log) {
        this.socket = socket;
        this.writer = writer;
        this.watchdog = watchdog;
        this.metrics = metrics;
        this.log = log;
    }

    /**
     * Refuses a malformed request; the connection is to end, because some clients send the same
     * request again at once, or hundreds of times in a row.
     */
    void refuse(MalformedMessageException e, HttpReader reader) throws IOException {
        log.warn(
                "bad request",
                e.getMessage() + ", from " + socket.getInetAddress().getHostAddress());
        respond(e.status(), e.getMessage(), reader, MAX_DISCARDED_BYTES, LINGER_MILLIS);
    }

    /**
     * Refuses a request for whose body there is no memory: no attempt was made, so the client may
     * send it again. If the connection were closed without a response, a request that is complete
     * by now would be lost. What the client still sends is read, as many clients write all of a
     * request before they read the response.
     *
     * @param validated its head; null for a health check, or if it was not read completely
     * @param isMemoryNeeded whether the memory of the connection is needed at once
     */
    void refuseForLackOfMemory(
            BufferPool.ExhaustedException e,
            RequestValidator.ValidatedHead validated,
            HttpReader reader,
            boolean isMemoryNeeded)
            throws IOException {
        log.warn("out of memory", e.getMessage() + "; a request was refused");
        if (validated != null) {
            metrics.responseSent(
                    validated.requestClassName(),
                    validated.tenantName(),
                    SERVICE_UNAVAILABLE,
                    RejectionReason.NO_CAPACITY);
        }
        respond(
                SERVICE_UNAVAILABLE,
                e.getMessage(),
                reader,
                (int) MessageBody.MAX_REQUEST_BYTES,
                isMemoryNeeded ? LINGER_MILLIS : DISCARD_BODY_MILLIS);
    }

    private void respond(
            int status, String fault, HttpReader reader, int maxDiscardedBytes, long discardMillis)
            throws IOException {
        // The text names the fault of this request only, never what other clients have sent or may
        // send.
        watchdog.write(socket, out -> writer.writeErrorResponse(out, status, fault));
        socket.shutdownOutput();
        // Closing the connection with unread input would discard the response.
        reader.setTimeout(discardMillis);
        reader.discard(maxDiscardedBytes);
    }
}
