package cottonlock.proxy.http;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Writes HTTP/1.1 messages, with a single write if they fit into one buffer. Thread-safe; each call
 * writes to the stream that it is given.
 */
public final class HttpWriter {
    private static final byte[] LINE_END = {'\r', '\n'};
    private static final byte[] LAST_CHUNK = {'0', '\r', '\n', '\r', '\n'};

    private final BufferPool buffers;

    /** A writer that assembles short messages in buffers of the pool. */
    public HttpWriter(BufferPool buffers) {
        this.buffers = buffers;
    }

    /**
     * Writes a request to a backend.
     *
     * @param timeoutMillis how long this proxy will wait for the response; evaluated only when the
     *     head is written, as taking a buffer may have taken time
     */
    public void writeRequest(
            OutputStream out, OutboundRequest request, String host, LongSupplier timeoutMillis)
            throws IOException {
        send(out, () -> requestHead(request, host, timeoutMillis.getAsLong()), request.body());
    }

    private static StringBuilder requestHead(
            OutboundRequest request, String host, long timeoutMillis) {
        StringBuilder head = new StringBuilder(256);
        head.append(request.method()).append(' ').append(request.target()).append(" HTTP/1.1\r\n");
        field(head, "Host", host);
        field(head, "X-Request-ID", request.requestId());
        field(head, "X-Timeout-Ms", Long.toString(timeoutMillis));
        field(head, "X-Priority-Class", request.requestClass());
        field(head, "X-Tenant-Id", request.tenant());
        field(head, "Idempotency-Key", request.idempotencyKey());
        field(head, "Content-Type", request.contentType());
        if (request.body().length() > 0 || !request.method().equals("GET")) {
            field(head, "Content-Length", Long.toString(request.body().length()));
        }
        return head;
    }

    /**
     * Writes a response to a client.
     *
     * @param fieldName the name of an additional header field
     * @param fieldValue the value of that field; null: there is none
     * @param body the body; null: it is empty
     * @param close whether the connection is closed after the response
     */
    public void writeResponse(
            OutputStream out,
            int status,
            String fieldName,
            String fieldValue,
            MessageBody body,
            boolean close)
            throws IOException {
        StringBuilder head = new StringBuilder(128);
        head.append("HTTP/1.1 ").append(status).append(' ').append(reason(status)).append("\r\n");
        field(head, fieldName, fieldValue);
        field(head, "Content-Length", Long.toString(body == null ? 0 : body.length()));
        field(head, "Connection", close ? "close" : null);
        send(out, () -> head, body);
    }

    /**
     * Writes the head of a long response that is relayed while it is received, and the first part
     * of its body.
     *
     * @param length the length of the whole body in bytes; -1 if it is unknown
     * @param chunked whether the body is sent in chunks
     */
    public void beginRelay(
            OutputStream out, long length, boolean chunked, MessageBody part, boolean close)
            throws IOException {
        StringBuilder head = new StringBuilder(128);
        head.append("HTTP/1.1 200 OK\r\n");
        field(head, "Content-Length", length < 0 ? null : Long.toString(length));
        field(head, "Transfer-Encoding", chunked ? "chunked" : null);
        field(head, "Connection", close ? "close" : null);
        if (chunked && part.length() > 0) {
            head.append("\r\n").append(Long.toHexString(part.length()));
        }
        send(out, () -> head, part);
        if (chunked && part.length() > 0) {
            out.write(LINE_END);
        }
    }

    /** Writes the next part of a relayed body. */
    public void writeRelayed(OutputStream out, boolean chunked, byte[] bytes, int offset, int count)
            throws IOException {
        if (chunked) {
            out.write((Integer.toHexString(count) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        }
        out.write(bytes, offset, count);
        if (chunked) {
            out.write(LINE_END);
        }
    }

    /** Ends a relayed body, so that the client can tell that it is complete. */
    public void endRelay(OutputStream out, boolean chunked) throws IOException {
        if (chunked) {
            out.write(LAST_CHUNK);
        }
    }

    /** Writes the response to a malformed request, with one line of text that names the fault. */
    public void writeErrorResponse(OutputStream out, int status, String fault) throws IOException {
        byte[] line = (fault + "\n").getBytes(StandardCharsets.UTF_8);
        StringBuilder head = new StringBuilder(160);
        head.append("HTTP/1.1 ").append(status).append(' ').append(reason(status)).append("\r\n");
        field(head, "Content-Type", "text/plain; charset=utf-8");
        field(head, "Content-Length", Integer.toString(line.length));
        field(head, "Connection", "close");
        byte[] start = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] message = Arrays.copyOf(start, start.length + line.length);
        System.arraycopy(line, 0, message, start.length, line.length);
        out.write(message);
    }

    private static void field(StringBuilder head, String name, String value) {
        if (value != null) {
            head.append(name).append(": ").append(value).append("\r\n");
        }
    }

    private void send(OutputStream out, Supplier<StringBuilder> head, MessageBody body)
            throws IOException {
        if (body == null || body.length() == 0) {
            out.write(bytes(head));
            return;
        }
        if (!body.isInFile() && body.length() <= BufferPool.SIZE) {
            byte[] message = buffers.take();
            try {
                byte[] bytes = bytes(head);
                if (bytes.length + body.length() <= BufferPool.SIZE) {
                    System.arraycopy(bytes, 0, message, 0, bytes.length);
                    body.copyTo(message, bytes.length);
                    out.write(message, 0, bytes.length + (int) body.length());
                } else {
                    out.write(bytes);
                    body.writeTo(out);
                }
            } finally {
                buffers.give(message);
            }
            return;
        }
        out.write(bytes(head));
        body.writeTo(out);
    }

    private static byte[] bytes(Supplier<StringBuilder> head) {
        return head.get().append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    private static String reason(int status) {
        return switch (status) {
            case 200 -> "OK";
            case 400 -> "Bad Request";
            case 404 -> "Not Found";
            case 405 -> "Method Not Allowed";
            case 408 -> "Request Timeout";
            case 409 -> "Conflict";
            case 413 -> "Content Too Large";
            case 431 -> "Request Header Fields Too Large";
            case 501 -> "Not Implemented";
            case 502 -> "Bad Gateway";
            case 503 -> "Service Unavailable";
            case 505 -> "HTTP Version Not Supported";
            default -> "Error";
        };
    }
}
