package cottonlock.lab;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Takes HTTP/1.1 messages (RFC 9112) out of bytes as they come, in any pieces. It knows what the
 * proxies and the stand-ins write: heads, and bodies with a Content-Length; anything else is a
 * fault of who wrote it.
 */
final class HttpMessageParser {
    /** Bytes of a head and of a body, at most: beyond them something is wrong. */
    private static final int LONGEST_HEAD = 16 << 10;

    private static final int LONGEST_BODY = 4 << 20;

    /** One message; names of fields are in small letters. */
    static final class Message {
        private final List<String> start;
        private final Map<String, String> fields;
        private final byte[] body;

        Message(List<String> start, Map<String, String> fields, byte[] body) {
            this.start = start;
            this.fields = fields;
            this.body = body;
        }

        /** The words of the first line: at most three. */
        List<String> start() {
            return start;
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

        boolean closes() {
            return "close".equalsIgnoreCase(fields.get("connection"));
        }
    }

    /** Bytes that are no such message. */
    static final class Unreadable extends Exception {
        private static final long serialVersionUID = 1L;

        Unreadable(String fault) {
            super(fault);
        }
    }

    private final ByteArrayOutputStream head = new ByteArrayOutputStream(512);
    private int matched;
    private String[] start;
    private Map<String, String> fields;
    private byte[] body;
    private int filled;
    private byte[] pending = new byte[0];
    private int from;

    /** Hands over bytes; {@link #next} takes the messages out. */
    void add(byte[] bytes, int length) {
        byte[] joined = new byte[pending.length - from + length];
        System.arraycopy(pending, from, joined, 0, pending.length - from);
        System.arraycopy(bytes, 0, joined, pending.length - from, length);
        pending = joined;
        from = 0;
    }

    /** Whether nothing of a further message has come. */
    boolean atRest() {
        return body == null && head.size() == 0 && from == pending.length;
    }

    /** The next whole message, or null while it has not come whole. */
    Message next() throws Unreadable {
        while (body == null && from < pending.length) {
            byte b = pending[from++];
            head.write(b);
            matched = b == (matched % 2 == 0 ? '\r' : '\n') ? matched + 1 : b == '\r' ? 1 : 0;
            if (matched == 4) {
                readHead();
            } else if (head.size() > LONGEST_HEAD) {
                throw new Unreadable("a head of more than " + LONGEST_HEAD + " bytes");
            }
        }
        if (body == null) {
            return null;
        }
        int n = Math.min(body.length - filled, pending.length - from);
        System.arraycopy(pending, from, body, filled, n);
        from += n;
        filled += n;
        if (filled < body.length) {
            return null;
        }
        Message message = new Message(List.of(start), fields, body);
        body = null;
        filled = 0;
        return message;
    }

    private void readHead() throws Unreadable {
        String[] lines = head.toString(StandardCharsets.ISO_8859_1).split("\r\n", 0);
        head.reset();
        matched = 0;
        start = lines[0].split(" ", 3);
        if (start.length < 2 || (start.length < 3 && !start[0].startsWith("HTTP/"))) {
            throw new Unreadable("no start of a message: " + lines[0]);
        }
        fields = new LinkedHashMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            if (colon <= 0) {
                throw new Unreadable("no field: " + lines[i]);
            }
            fields.put(
                    lines[i].substring(0, colon).toLowerCase(Locale.ROOT),
                    lines[i].substring(colon + 1).trim());
        }
        String length = fields.getOrDefault("content-length", "0");
        if (!length.matches("[0-9]{1,7}")
                || Integer.parseInt(length) > LONGEST_BODY
                || fields.containsKey("transfer-encoding")) {
            throw new Unreadable("a body whose length can't be told");
        }
        body = new byte[Integer.parseInt(length)];
    }

    /** The bytes of an answer; a name of null leaves that field out. */
    static byte[] answer(int status, String name, String value, byte[] body) {
        String head =
                "HTTP/1.1 "
                        + status
                        + " "
                        + (status == 200 ? "OK" : "No")
                        + "\r\n"
                        + (name == null ? "" : name + ": " + value + "\r\n")
                        + "Content-Length: "
                        + body.length
                        + "\r\n\r\n";
        byte[] bytes = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] whole = java.util.Arrays.copyOf(bytes, bytes.length + body.length);
        System.arraycopy(body, 0, whole, bytes.length, body.length);
        return whole;
    }
}
