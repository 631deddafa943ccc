package cottonlock.net;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Writes HTTP/1.1 messages, in one piece where they fit into one buffer. */
final class HttpWriter {
    private final Buffers buffers;

    HttpWriter(Buffers buffers) {
        this.buffers = buffers;
    }

    /** A work item on its way to a backend, with how many milliseconds its balancer will wait. */
    void request(OutputStream out, Item wi, String host, long wait) throws IOException {
        StringBuilder head = new StringBuilder(256);
        head.append(wi.method).append(' ').append(wi.target).append(" HTTP/1.1\r\n");
        field(head, "Host", host);
        field(head, "X-Request-ID", wi.requestId);
        field(head, "X-Timeout-Ms", Long.toString(wait));
        field(head, "X-Priority-Class", wi.categoryName);
        field(head, "X-Tenant-Id", wi.tenantName);
        field(head, "Idempotency-Key", wi.ticket);
        field(head, "Content-Type", wi.contentType);
        if (wi.body.length() > 0 || !wi.method.equals("GET")) {
            field(head, "Content-Length", Integer.toString(wi.body.length()));
        }
        send(out, head, wi.body);
    }

    /** An answer to a client; a body of null is an empty one. */
    void answer(OutputStream out, int status, String name, String value, Body body, boolean close)
        throws IOException {
        StringBuilder head = new StringBuilder(128);
        head.append("HTTP/1.1 ").append(status).append(' ').append(reason(status)).append("\r\n");
        field(head, name, value);
        field(head, "Content-Length", Integer.toString(body == null ? 0 : body.length()));
        field(head, "Connection", close ? "close" : null);
        send(out, head, body);
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

    private void send(OutputStream out, StringBuilder head, Body body) throws IOException {
        byte[] bytes = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
        if (body == null || body.length() == 0) {
            out.write(bytes);
            return;
        }
        if (bytes.length + body.length() <= Buffers.SIZE) {
            byte[] whole = buffers.take();
            try {
                System.arraycopy(bytes, 0, whole, 0, bytes.length);
                body.copyTo(whole, bytes.length);
                out.write(whole, 0, bytes.length + body.length());
            } finally {
                buffers.give(whole);
            }
            return;
        }
        out.write(bytes);
        body.writeTo(out);
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
