package cottonlock.proxy;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/** Writes HTTP/1.1 messages, in one piece where they fit into one buffer. */
final class HttpWriter {
    private static final byte[] LINE_END = {'\r', '\n'};
    private static final byte[] LAST_CHUNK = {'0', '\r', '\n', '\r', '\n'};

    private final BufferPool buffers;

    HttpWriter(BufferPool buffers) {
        this.buffers = buffers;
    }

    /**
     * A request on its way to a backend, with how many milliseconds its balancer will wait: asked
     * for at the last moment, for a buffer may have to be waited for before it.
     */
    void request(OutputStream out, ClientRequest req, String host, LongSupplier wait)
            throws IOException {
        send(out, () -> request(req, host, wait.getAsLong()), req.body);
    }

    private static StringBuilder request(ClientRequest req, String host, long wait) {
        StringBuilder head = new StringBuilder(256);
        head.append(req.method).append(' ').append(req.target).append(" HTTP/1.1\r\n");
        field(head, "Host", host);
        field(head, "X-Request-ID", req.requestId);
        field(head, "X-Timeout-Ms", Long.toString(wait));
        field(head, "X-Priority-Class", req.categoryName);
        field(head, "X-Tenant-Id", req.tenantName);
        field(head, "Idempotency-Key", req.idempotencyKey);
        field(head, "Content-Type", req.contentType);
        if (req.body.length() > 0 || !req.method.equals("GET")) {
            field(head, "Content-Length", Long.toString(req.body.length()));
        }
        return head;
    }

    /** An answer to a client; a body of null is an empty one. */
    void answer(
            OutputStream out,
            int status,
            String name,
            String value,
            MessageBody body,
            boolean close)
            throws IOException {
        StringBuilder head = new StringBuilder(128);
        head.append("HTTP/1.1 ").append(status).append(' ').append(reason(status)).append("\r\n");
        field(head, name, value);
        field(head, "Content-Length", Long.toString(body == null ? 0 : body.length()));
        field(head, "Connection", close ? "close" : null);
        send(out, () -> head, body);
    }

    /**
     * The head of a long answer that is passed on as it comes, and what of it is in hand; -1:
     * length unknown, and the rest follows in chunks where the client knows them.
     */
    void begin(OutputStream out, long length, boolean chunked, MessageBody part, boolean close)
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

    /** The next piece of it. */
    void piece(OutputStream out, boolean chunked, byte[] from, int at, int count)
            throws IOException {
        if (chunked) {
            out.write((Integer.toHexString(count) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        }
        out.write(from, at, count);
        if (chunked) {
            out.write(LINE_END);
        }
    }

    /** Its end, by which the client knows that it is whole. */
    void end(OutputStream out, boolean chunked) throws IOException {
        if (chunked) {
            out.write(LAST_CHUNK);
        }
    }

    /** An answer to a request that is wrong in itself, with one plain line that names the fault. */
    void refusal(OutputStream out, int status, String fault) throws IOException {
        byte[] line = (fault + "\n").getBytes(StandardCharsets.UTF_8);
        StringBuilder head = new StringBuilder(160);
        head.append("HTTP/1.1 ").append(status).append(' ').append(reason(status)).append("\r\n");
        field(head, "Content-Type", "text/plain; charset=utf-8");
        field(head, "Content-Length", Integer.toString(line.length));
        field(head, "Connection", "close");
        byte[] start = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] whole = Arrays.copyOf(start, start.length + line.length);
        System.arraycopy(line, 0, whole, start.length, line.length);
        out.write(whole);
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
        if (!body.spooled() && body.length() <= BufferPool.SIZE) {
            byte[] whole = buffers.take();
            try {
                byte[] bytes = bytes(head);
                if (bytes.length + body.length() <= BufferPool.SIZE) {
                    System.arraycopy(bytes, 0, whole, 0, bytes.length);
                    body.copyTo(whole, bytes.length);
                    out.write(whole, 0, bytes.length + (int) body.length());
                } else {
                    out.write(bytes);
                    body.writeTo(out);
                }
            } finally {
                buffers.give(whole);
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
