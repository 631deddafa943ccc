package cottonlock.proxy;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Parses HTTP/1.1 messages from one socket, strictly: what could be read in two ways is refused.
 */
public final class HttpReader {
    /** Longer lines between chunks carry nothing that anyone here needs. */
    private static final int CHUNK_LINE = 256;

    /** Bytes a second that any sender reaches: only its pauses count. */
    static final long ANY_RATE = 16;

    /** What a token may hold besides letters and digits (RFC 9110, section 5.6.2). */
    private static final String TOKEN_PUNCTUATION = "!#$%&'*+-.^_`|~";

    private static final byte DELETE = 127;
    private static final long TO_THE_END = Long.MAX_VALUE;

    private final Socket socket;
    private final InputStream in;
    private final byte[] buffer;
    private int at;
    private int filled;
    private long limit;
    private volatile long readAt = System.nanoTime();

    /**
     * Nanoseconds that a pause may last at most, each byte adding to the limit as many; 0: it
     * stays.
     */
    private long pause;

    private long eachByte;
    private boolean chunked;

    /** What is left of the body, or of its present chunk. */
    private long left;

    private boolean bodyOver = true;
    private long dropped;

    /** Reads through the given buffer, which stays the caller's. */
    public HttpReader(Socket socket, byte[] buffer) throws IOException {
        this.socket = socket;
        this.in = socket.getInputStream();
        this.buffer = buffer;
    }

    /** All reads from now on must be done within so many milliseconds; 0: no limit. */
    public void within(long millis) {
        limit = millis == 0 ? 0 : System.nanoTime() + millis * 1_000_000;
        pause = 0;
    }

    /**
     * No pause from now on may be longer than so many milliseconds, and less than so many bytes a
     * second may not come for longer than that either.
     */
    void paced(long millis, long bytesPerSecond) {
        within(millis);
        pause = millis * 1_000_000;
        eachByte = 1_000_000_000L / bytesPerSecond;
    }

    /** Waits for the first byte of a message; false when the other side has ended its sending. */
    public boolean await() throws IOException {
        return ahead() || fill();
    }

    /**
     * The same, but reads that one byte alone: what comes with it can still be seen in the socket.
     */
    boolean awaitOne() throws IOException {
        return ahead() || fill(1);
    }

    /** Whether bytes lie here that nobody has looked at yet. */
    public boolean ahead() {
        return at < filled;
    }

    /**
     * Reads on behind what lies here; false when the other side has ended its sending. What does
     * not fit any more is dropped with what lies here, and counted.
     */
    boolean more() throws IOException {
        if (filled - at == buffer.length) {
            dropped += buffer.length;
            at = filled;
        }
        return fill();
    }

    /**
     * How many bytes have been dropped; with any, where the next message begins is not known any
     * more.
     */
    long dropped() {
        return dropped;
    }

    /**
     * Whether the next message, as far as it has come, can't be one: the length of the last was
     * wrong.
     */
    boolean stray() {
        return at < filled && buffer[at] != '\r' && (buffer[at] < 'A' || buffer[at] > 'Z');
    }

    /** When something came last, by the monotonic clock; from any thread. */
    long readAt() {
        return readAt;
    }

    /** Whether something has come beyond the last message. */
    boolean surplus() throws IOException {
        return at < filled || in.available() > 0;
    }

    private boolean fill() throws IOException {
        return fill(buffer.length);
    }

    private boolean fill(int most) throws IOException {
        if (at == filled) {
            at = 0;
            filled = 0;
        } else if (filled == buffer.length) {
            System.arraycopy(buffer, at, buffer, 0, filled - at);
            filled -= at;
            at = 0;
        }
        int wait = 0;
        if (limit != 0) {
            // A sender of one byte a second must not hold the thread for longer than the limit.
            long ms = (limit - System.nanoTime()) / 1_000_000;
            if (ms <= 0) {
                throw new SocketTimeoutException("too slow");
            }
            wait = (int) Math.min(Integer.MAX_VALUE, ms);
        }
        socket.setSoTimeout(wait);
        int n = in.read(buffer, filled, Math.min(most, buffer.length - filled));
        filled += Math.max(0, n);
        readAt = n > 0 ? System.nanoTime() : readAt;
        if (pause > 0 && n > 0) {
            limit = Math.min(limit + n * eachByte, System.nanoTime() + pause);
        }
        return n > 0;
    }

    /**
     * Reads and drops what still comes, so many bytes at most, until the other side ends or time is
     * up.
     */
    void drop(int most) throws IOException {
        int count = filled - at;
        at = filled;
        while (count < most && fill()) {
            count += filled - at;
            at = filled;
        }
    }

    private byte next() throws IOException {
        if (at == filled && !fill()) {
            throw new IOException("the message ends early");
        }
        return buffer[at++];
    }

    MessageHead request() throws IOException, MalformedMessageException {
        MessageHead head = head();
        String[] s = head.start;
        if (s.length == 3 && s[1].startsWith("http://")) {
            // The absolute form means the same here, wherever it is sent.
            int path = s[1].indexOf('/', "http://".length());
            s[1] = path < 0 ? "/" : s[1].substring(path);
        }
        if (s.length != 3 || !token(s[0]) || !target(s[1]) || !s[2].startsWith("HTTP/")) {
            throw new MalformedMessageException(400, "not a request line");
        }
        if (!s[2].equals("HTTP/1.1") && !s[2].equals("HTTP/1.0")) {
            throw new MalformedMessageException(505, "neither HTTP/1.1 nor HTTP/1.0");
        }
        if (s[2].equals("HTTP/1.1") && head.only("Host") == null) {
            throw new MalformedMessageException(400, "no Host");
        }
        frame(head, 0);
        return head;
    }

    /**
     * The head of the final answer: milliseconds for any pause once one has begun; 0: the limit
     * that is set.
     */
    public MessageHead answer(long gap) throws IOException, MalformedMessageException {
        while (true) {
            if (!await()) {
                throw new IOException("the answer ends early");
            }
            if (gap > 0) {
                paced(gap, ANY_RATE);
            }
            MessageHead head = head();
            String[] s = head.start;
            boolean version = s[0].equals("HTTP/1.1") || s[0].equals("HTTP/1.0");
            if (s.length < 2 || !version || s[1].length() != 3 || !digits(s[1])) {
                throw new MalformedMessageException(502, "not a status line");
            }
            boolean none = s[1].startsWith("1") || s[1].equals("204") || s[1].equals("304");
            frame(head, none ? 0 : TO_THE_END);
            if (none) {
                bodyOver = true;
            }
            if (!s[1].startsWith("1")) {
                return head;
            }
            // Interim ones are passed over; the final one may take as long as the work does.
            if (gap > 0) {
                within(0);
            }
        }
    }

    private MessageHead head() throws IOException, MalformedMessageException {
        // Some senders end a body with a line end too many.
        while (at + 1 < filled && buffer[at] == '\r' && buffer[at + 1] == '\n') {
            at += 2;
        }
        int seen = 0;
        while (true) {
            for (; at + seen < filled; seen++) {
                byte b = buffer[at + seen];
                boolean afterReturn = seen > 0 && buffer[at + seen - 1] == '\r';
                if (afterReturn != (b == '\n') || isForbiddenControl(b)) {
                    throw new MalformedMessageException(400, "a control character in the head");
                }
                if (b == '\n' && seen >= 3 && buffer[at + seen - 2] == '\n') {
                    String text = new String(buffer, at, seen - 3, StandardCharsets.ISO_8859_1);
                    at += seen + 1;
                    return parse(text);
                }
            }
            if (filled - at == buffer.length) {
                throw new MalformedMessageException(431, "the head is too large");
            }
            if (!fill()) {
                throw new IOException("the head ends early");
            }
        }
    }

    private static boolean isForbiddenControl(byte octet) {
        boolean permitted = octet == '\t' || octet == '\r' || octet == '\n';
        return octet == DELETE || (octet >= 0 && octet < ' ' && !permitted);
    }

    private static MessageHead parse(String text) throws MalformedMessageException {
        // Without patterns: until they were compiled, the first requests waited milliseconds for
        // them.
        int end = lineEnd(text, 0);
        MessageHead head = new MessageHead(text.substring(0, end).split(" ", 3));
        while (end < text.length()) {
            int from = end + 2;
            end = lineEnd(text, from);
            int colon = text.indexOf(':', from);
            if (colon <= from || colon >= end || !token(text.substring(from, colon))) {
                throw new MalformedMessageException(400, "not a header field");
            }
            head.add(text.substring(from, colon), text.substring(colon + 1, end).trim());
        }
        return head;
    }

    private static int lineEnd(String text, int from) {
        int end = text.indexOf('\r', from);
        return end < 0 ? text.length() : end;
    }

    private static boolean target(String word) {
        for (int i = 0; i < word.length(); i++) {
            if (word.charAt(i) <= ' ' || word.charAt(i) >= 127) {
                return false;
            }
        }
        return word.startsWith("/");
    }

    /** Whether a word is a whole number without a sign, short enough for a long. */
    public static boolean digits(String word) {
        for (int i = 0; i < word.length(); i++) {
            if (word.charAt(i) < '0' || word.charAt(i) > '9') {
                return false;
            }
        }
        return !word.isEmpty() && word.length() <= 18;
    }

    private static boolean token(String word) {
        for (int i = 0; i < word.length(); i++) {
            char c = word.charAt(i);
            boolean letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
            boolean digit = c >= '0' && c <= '9';
            if (!letter && !digit && TOKEN_PUNCTUATION.indexOf(c) < 0) {
                return false;
            }
        }
        return !word.isEmpty();
    }

    private void frame(MessageHead head, long withoutLength) throws MalformedMessageException {
        String coding = head.only("Transfer-Encoding");
        String length = head.only("Content-Length");
        chunked = coding != null;
        bodyOver = false;
        if (chunked) {
            if (length != null) {
                throw new MalformedMessageException(
                        400, "both Transfer-Encoding and Content-Length");
            }
            if (List.of(head.start).contains("HTTP/1.0")) {
                throw new MalformedMessageException(400, "a transfer coding in HTTP/1.0");
            }
            if (!coding.equalsIgnoreCase("chunked")) {
                throw new MalformedMessageException(501, "a transfer coding other than chunked");
            }
            left = 0;
        } else if (length != null) {
            if (!digits(length)) {
                throw new MalformedMessageException(400, "Content-Length is not a number");
            }
            left = Long.parseLong(length);
            bodyOver = left == 0;
        } else {
            left = withoutLength;
            bodyOver = left == 0;
        }
    }

    /** How long the body is said to be; -1 where that is not told. */
    long length() {
        return bodyOver ? 0 : chunked || left == TO_THE_END ? -1 : left;
    }

    /** Whether all of the body has been read. */
    boolean over() {
        return bodyOver;
    }

    /** Reads the whole body of the message whose head came last; on failure it is given back. */
    MessageBody body(BufferPool buffers, BodySpillFiles spools, long most)
            throws IOException, MalformedMessageException {
        return read(new MessageBody(buffers, spools), most, true);
    }

    /** Reads the body if it can be held, else none or only the first of it; see {@link #over}. */
    MessageBody first(BufferPool buffers) throws IOException, MalformedMessageException {
        return read(new MessageBody(buffers, null), MessageBody.IN_HAND, false);
    }

    private MessageBody read(MessageBody body, long most, boolean whole)
            throws IOException, MalformedMessageException {
        boolean done = false;
        try {
            while (length() <= most && goesOn() && body.length() < most) {
                int n = (int) Math.min(Math.min(left, filled - at), most - body.length());
                body.add(buffer, at, n);
                took(n);
            }
            if (whole && (length() > most || goesOn())) {
                throw new MalformedMessageException(413, "the body is too large");
            }
            done = true;
            return body;
        } finally {
            if (!done) {
                body.release();
            }
        }
    }

    /** What takes the pieces of a body that is passed on. */
    interface Taker {
        void piece(byte[] from, int at, int count) throws IOException;
    }

    /** Passes on what is left of the body, piece by piece as it comes. */
    void pass(Taker taker) throws IOException {
        try {
            while (goesOn()) {
                int n = (int) Math.min(left, filled - at);
                taker.piece(buffer, at, n);
                took(n);
            }
        } catch (MalformedMessageException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    /** The next line of a body of lines, without its end; null at the end of the body. */
    public String line(int longest) throws IOException, MalformedMessageException {
        StringBuilder line = new StringBuilder();
        while (goesOn()) {
            byte b = buffer[at];
            took(1);
            if (b == '\n') {
                return line.toString();
            }
            if (line.length() >= longest) {
                throw new MalformedMessageException(502, "a line is too long");
            }
            line.append((char) (b & 0xff));
        }
        return null;
    }

    /** Whether the body goes on; there is a byte of it in the buffer then. */
    private boolean goesOn() throws IOException, MalformedMessageException {
        if (!bodyOver && chunked && left == 0) {
            left = chunkSize();
            if (left == 0) {
                while (!chunkLine().isEmpty()) {
                    // Fields behind the last chunk: nothing here needs them.
                }
                bodyOver = true;
            }
        }
        if (bodyOver) {
            return false;
        }
        if (at == filled && !fill()) {
            if (left == TO_THE_END) {
                bodyOver = true;
                return false;
            }
            throw new IOException("the body ends early");
        }
        return true;
    }

    private void took(int n) throws IOException, MalformedMessageException {
        at += n;
        if (left == TO_THE_END) {
            return;
        }
        left -= n;
        if (left == 0) {
            if (!chunked) {
                bodyOver = true;
            } else if (!chunkLine().isEmpty()) {
                throw new MalformedMessageException(400, "a chunk is longer than its size");
            }
        }
    }

    private long chunkSize() throws IOException, MalformedMessageException {
        String size = chunkLine().split(";", 2)[0].trim();
        // Some pad it with zeros.
        if (!size.matches("0{0,16}[0-9a-fA-F]{1,8}")) {
            throw new MalformedMessageException(400, "not the size of a chunk");
        }
        return Long.parseLong(size, 16);
    }

    private String chunkLine() throws IOException, MalformedMessageException {
        StringBuilder line = new StringBuilder();
        while (true) {
            char c = (char) (next() & 0xff);
            if (c == '\n' && line.length() > 0 && line.charAt(line.length() - 1) == '\r') {
                line.setLength(line.length() - 1);
                return line.toString();
            }
            if (c == '\n' || line.length() >= CHUNK_LINE) {
                throw new MalformedMessageException(400, "not a line between chunks");
            }
            line.append(c);
        }
    }
}
