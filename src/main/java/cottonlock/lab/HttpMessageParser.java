package cottonlock.lab;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Parses HTTP/1.1 messages (RFC 9112) from bytes that arrive in any pieces. It supports what the
 * proxies and the stand-ins write: heads, and bodies with a Content-Length. Anything else is a
 * fault of the sender.
 */
final class HttpMessageParser {
    /** The largest head and body accepted, in bytes: a larger one is a fault. */
    private static final int MAX_HEAD_BYTES = 16 << 10;

    private static final int MAX_BODY_BYTES = 4 << 20;

    /** One message; the names of its fields are in lower case. */
    static final class Message {
        private final List<String> startLine;
        private final Map<String, String> fields;
        private final byte[] body;

        Message(List<String> startLine, Map<String, String> fields, byte[] body) {
            this.startLine = startLine;
            this.fields = fields;
            this.body = body;
        }

        /** The parts of the start line, three at most. */
        List<String> startLine() {
            return startLine;
        }

        Map<String, String> fields() {
            return fields;
        }

        /** The body's bytes, not copied. */
        byte[] body() {
            return body;
        }

        String field(String name) {
            return fields.get(name);
        }

        boolean closesConnection() {
            return "close".equalsIgnoreCase(fields.get("connection"));
        }
    }

    /** The bytes aren't a message that this parser supports. */
    static final class MalformedMessageException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedMessageException(String fault) {
            super(fault);
        }
    }

    private final ByteArrayOutputStream head = new ByteArrayOutputStream(512);
    private int terminatorBytes;
    private String[] startLine;
    private Map<String, String> fields;
    private byte[] body;
    private int bodyBytesRead;
    private byte[] pending = new byte[0];
    private int pendingStart;

    /** Adds bytes; {@link #next} returns the messages in them. */
    void add(byte[] bytes, int length) {
        byte[] joined = new byte[pending.length - pendingStart + length];
        System.arraycopy(pending, pendingStart, joined, 0, pending.length - pendingStart);
        System.arraycopy(bytes, 0, joined, pending.length - pendingStart, length);
        pending = joined;
        pendingStart = 0;
    }

    /** Whether no byte of a further message has arrived. */
    boolean isIdle() {
        return body == null && head.size() == 0 && pendingStart == pending.length;
    }

    /** Returns the next complete message, or null if none is complete. */
    Message next() throws MalformedMessageException {
        while (body == null && pendingStart < pending.length) {
            byte b = pending[pendingStart++];
            head.write(b);
            terminatorBytes =
                    b == (terminatorBytes % 2 == 0 ? '\r' : '\n')
                            ? terminatorBytes + 1
                            : b == '\r' ? 1 : 0;
            if (terminatorBytes == 4) {
                readHead();
            } else if (head.size() > MAX_HEAD_BYTES) {
                throw new MalformedMessageException(
                        "a head of more than " + MAX_HEAD_BYTES + " bytes");
            }
        }
        if (body == null) {
            return null;
        }
        int n = Math.min(body.length - bodyBytesRead, pending.length - pendingStart);
        System.arraycopy(pending, pendingStart, body, bodyBytesRead, n);
        pendingStart += n;
        bodyBytesRead += n;
        if (bodyBytesRead < body.length) {
            return null;
        }
        Message message = new Message(List.of(startLine), fields, body);
        body = null;
        bodyBytesRead = 0;
        return message;
    }

    private void readHead() throws MalformedMessageException {
        String[] lines = head.toString(StandardCharsets.ISO_8859_1).split("\r\n", 0);
        head.reset();
        terminatorBytes = 0;
        startLine = lines[0].split(" ", 3);
        if (startLine.length < 2 || (startLine.length < 3 && !startLine[0].startsWith("HTTP/"))) {
            throw new MalformedMessageException("no start of a message: " + lines[0]);
        }
        fields = new LinkedHashMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            if (colon <= 0) {
                throw new MalformedMessageException("no field: " + lines[i]);
            }
            fields.put(
                    lines[i].substring(0, colon).toLowerCase(Locale.ROOT),
                    lines[i].substring(colon + 1).trim());
        }
        String length = fields.getOrDefault("content-length", "0");
        if (!length.matches("[0-9]{1,7}")
                || Integer.parseInt(length) > MAX_BODY_BYTES
                || fields.containsKey("transfer-encoding")) {
            throw new MalformedMessageException("a body whose length can't be told");
        }
        body = new byte[Integer.parseInt(length)];
    }

    /** Encodes a response; with a null name it has no extra field. */
    static byte[] encodeResponse(int status, String fieldName, String fieldValue, byte[] body) {
        String head =
                "HTTP/1.1 "
                        + status
                        + " "
                        + (status == 200 ? "OK" : "No")
                        + "\r\n"
                        + (fieldName == null ? "" : fieldName + ": " + fieldValue + "\r\n")
                        + "Content-Length: "
                        + body.length
                        + "\r\n\r\n";
        byte[] bytes = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] whole = java.util.Arrays.copyOf(bytes, bytes.length + body.length);
        System.arraycopy(body, 0, whole, bytes.length, body.length);
        return whole;
    }
}
