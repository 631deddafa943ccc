package cottonlock.proxy.http;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/**
 * Parses HTTP/1.1 messages from one socket, strictly: ambiguous messages are rejected. One thread
 * reads; {@link #lastReadNanos} may be called from any thread. Reads end with a {@link
 * SocketTimeoutException} at the deadline that {@link #setTimeout} or {@link #setPacing} has set.
 */
public final class HttpReader {
    /** A rate that any sender reaches, so that {@link #setPacing} limits only its pauses. */
    public static final long NEGLIGIBLE_RATE_BYTES_PER_SECOND = 16;

    private static final int MAX_CHUNK_LINE_CHARS = 256;

    /** The value of {@code remainingBytes} for a body that ends with the connection. */
    private static final long UNTIL_END_OF_STREAM = Long.MAX_VALUE;

    private final TimedSocketInput input;
    private boolean chunked;

    /** Bytes that remain of the body, or of its current chunk. */
    private long remainingBytes;

    private boolean bodyComplete = true;

    /** Reads through the given buffer, which remains owned by the caller. */
    public HttpReader(Socket socket, byte[] buffer) throws IOException {
        this.input = new TimedSocketInput(socket, buffer);
    }

    /** Sets a deadline for all reads from now on; a timeout of 0 means no deadline. */
    public void setTimeout(long timeoutMillis) {
        input.setTimeout(timeoutMillis);
    }

    /**
     * From now on, reads fail if a pause exceeds {@code maxPauseMillis}, or if the rate stays below
     * {@code minBytesPerSecond} for longer than that.
     */
    public void setPacing(long maxPauseMillis, long minBytesPerSecond) {
        input.setPacing(maxPauseMillis, minBytesPerSecond);
    }

    /** Waits for the first byte of a message; false at the end of the stream. */
    public boolean awaitFirstByte() throws IOException {
        return hasBufferedBytes() || input.fill();
    }

    /**
     * Like {@link #awaitFirstByte}, but reads only that byte: further bytes remain visible at the
     * socket.
     */
    public boolean awaitSingleByte() throws IOException {
        return hasBufferedBytes() || input.fill(1);
    }

    /** Whether there are bytes that have been read but not parsed. */
    public boolean hasBufferedBytes() {
        return input.bufferedBytes() > 0;
    }

    /**
     * Reads more bytes into the buffer without parsing them; false at the end of the stream. If the
     * buffer is full, its bytes are discarded, and counted by {@link #discardedBytes}.
     */
    public boolean readAhead() throws IOException {
        return input.fillDiscardingIfFull();
    }

    /**
     * The number of bytes that {@link #readAhead} discarded; if any, the start of the next message
     * is no longer known.
     */
    public long discardedBytes() {
        return input.discardedBytes();
    }

    /**
     * Whether the buffered bytes cannot begin a message, because the declared length of the last
     * one was wrong.
     */
    public boolean hasStrayBytes() {
        if (!hasBufferedBytes()) {
            return false;
        }
        byte first = input.peek(0);
        return first != '\r' && (first < 'A' || first > 'Z');
    }

    /** When bytes were last read, by the monotonic clock. Callable from any thread. */
    public long lastReadNanos() {
        return input.lastReadNanos();
    }

    /** Whether bytes have been received beyond the last message. */
    public boolean hasSurplusBytes() throws IOException {
        return input.hasUnconsumedBytes();
    }

    /**
     * Reads and discards bytes until about {@code maxBytes}, the end of the stream or the deadline.
     */
    public void discard(int maxBytes) throws IOException {
        input.discard(maxBytes);
    }

    /**
     * Reads the head of a request.
     *
     * @throws MalformedMessageException with the status of the response to the request
     */
    public MessageHead readRequestHead() throws IOException, MalformedMessageException {
        MessageHead head = readHead();
        head.checkRequestLine();
        beginBody(head, 0);
        return head;
    }

    /**
     * Reads the head of the final response.
     *
     * @param maxPauseMillis the limit for pauses once a response has begun; 0: the deadline that is
     *     already set applies
     */
    public MessageHead readResponseHead(long maxPauseMillis)
            throws IOException, MalformedMessageException {
        while (true) {
            if (!awaitFirstByte()) {
                throw new IOException("the connection ended before the response");
            }
            if (maxPauseMillis > 0) {
                setPacing(maxPauseMillis, NEGLIGIBLE_RATE_BYTES_PER_SECOND);
            }
            MessageHead head = readHead();
            head.checkStatusLine();
            beginBody(head, head.hasNoBody() ? 0 : UNTIL_END_OF_STREAM);
            bodyComplete |= head.hasNoBody();
            if (!head.isInterim()) {
                return head;
            }
            // The final response may take as long as the backend needs.
            if (maxPauseMillis > 0) {
                setTimeout(0);
            }
        }
    }

    private MessageHead readHead() throws IOException, MalformedMessageException {
        skipLeadingLineEnds();
        int scanned = 0;
        while (true) {
            for (; scanned < input.bufferedBytes(); scanned++) {
                if (endsHead(scanned)) {
                    String text =
                            new String(
                                    input.buffer(),
                                    input.position(),
                                    scanned - 3,
                                    StandardCharsets.ISO_8859_1);
                    input.skip(scanned + 1);
                    return MessageHeadParser.parse(text);
                }
            }
            if (input.isFull()) {
                throw new MalformedMessageException(431, "the head is too large");
            }
            if (!input.fill()) {
                throw new IOException("the connection ended within the head of a message");
            }
        }
    }

    /** Skips line ends before a message: some senders end a body with an extra one. */
    private void skipLeadingLineEnds() {
        while (input.bufferedBytes() > 1 && input.peek(0) == '\r' && input.peek(1) == '\n') {
            input.skip(2);
        }
    }

    /** Checks one byte of a head; true if it is the last byte of the empty line after the head. */
    private boolean endsHead(int offset) throws MalformedMessageException {
        byte octet = input.peek(offset);
        boolean afterReturn = offset > 0 && input.peek(offset - 1) == '\r';
        if (afterReturn != (octet == '\n') || MessageHeadParser.isForbiddenControl(octet)) {
            throw new MalformedMessageException(400, "a control character in the head");
        }
        return octet == '\n' && offset >= 3 && input.peek(offset - 2) == '\n';
    }

    private void beginBody(MessageHead head, long lengthIfUnknown)
            throws MalformedMessageException {
        String coding = head.singleValue("Transfer-Encoding");
        String length = head.singleValue("Content-Length");
        chunked = coding != null;
        if (chunked) {
            checkChunked(head, coding, length);
            remainingBytes = 0;
            bodyComplete = false;
            return;
        }
        if (length != null && !MessageHeadParser.isDecimal(length)) {
            throw new MalformedMessageException(400, "Content-Length is not a number");
        }
        remainingBytes = length == null ? lengthIfUnknown : Long.parseLong(length);
        bodyComplete = remainingBytes == 0;
    }

    private static void checkChunked(MessageHead head, String coding, String length)
            throws MalformedMessageException {
        if (length != null) {
            throw new MalformedMessageException(400, "both Transfer-Encoding and Content-Length");
        }
        if (head.isHttp10()) {
            throw new MalformedMessageException(400, "a transfer coding in HTTP/1.0");
        }
        if (!coding.equalsIgnoreCase("chunked")) {
            throw new MalformedMessageException(501, "a transfer coding other than chunked");
        }
    }

    /** The length of the body in bytes as its head declares it; -1 if the head declares none. */
    public long declaredLength() {
        if (bodyComplete) {
            return 0;
        }
        return chunked || remainingBytes == UNTIL_END_OF_STREAM ? -1 : remainingBytes;
    }

    /** Whether all of the body has been read. */
    public boolean isBodyComplete() {
        return bodyComplete;
    }

    /**
     * Reads the whole body of the message whose head was read last; on failure its buffers are
     * released.
     *
     * @throws MalformedMessageException also if the body is longer than {@code maxBytes}
     */
    public MessageBody readBody(BufferPool buffers, BodySpillFiles files, long maxBytes)
            throws IOException, MalformedMessageException {
        return readBody(new MessageBody(buffers, files), maxBytes, true);
    }

    /**
     * Reads the body if it fits into buffers, else nothing or only its first part; see {@link
     * #isBodyComplete}.
     */
    public MessageBody readBodyStart(BufferPool buffers)
            throws IOException, MalformedMessageException {
        return readBody(new MessageBody(buffers, null), MessageBody.MAX_BUFFERED_BYTES, false);
    }

    private MessageBody readBody(MessageBody body, long maxBytes, boolean requireWhole)
            throws IOException, MalformedMessageException {
        boolean done = false;
        try {
            while (declaredLength() <= maxBytes && bodyContinues() && body.length() < maxBytes) {
                long space = maxBytes - body.length();
                int count = (int) Math.min(Math.min(remainingBytes, input.bufferedBytes()), space);
                body.add(input.buffer(), input.position(), count);
                consume(count);
            }
            if (requireWhole && (declaredLength() > maxBytes || bodyContinues())) {
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

    /** Receives the parts of a body that is relayed. */
    public interface BodyConsumer {
        /**
         * Accepts {@code count} bytes of the array from an offset on, which are valid only during
         * the call.
         */
        void accept(byte[] bytes, int offset, int count) throws IOException;
    }

    /** Passes the rest of the body to a consumer, in parts as they are received. */
    public void relayBody(BodyConsumer consumer) throws IOException {
        try {
            while (bodyContinues()) {
                int count = (int) Math.min(remainingBytes, input.bufferedBytes());
                consumer.accept(input.buffer(), input.position(), count);
                consume(count);
            }
        } catch (MalformedMessageException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    /** The next line of a body that consists of lines, without its line end; null at the end. */
    public String readLine(int maxChars) throws IOException, MalformedMessageException {
        StringBuilder line = new StringBuilder();
        while (bodyContinues()) {
            byte octet = input.peek(0);
            consume(1);
            if (octet == '\n') {
                return line.toString();
            }
            if (line.length() >= maxChars) {
                throw new MalformedMessageException(502, "a line is too long");
            }
            line.append((char) (octet & 0xff));
        }
        return null;
    }

    /** Whether the body continues, in which case at least one byte of it is in the buffer. */
    private boolean bodyContinues() throws IOException, MalformedMessageException {
        if (!bodyComplete && chunked && remainingBytes == 0) {
            beginChunk();
        }
        if (bodyComplete) {
            return false;
        }
        if (hasBufferedBytes() || input.fill()) {
            return true;
        }
        if (remainingBytes != UNTIL_END_OF_STREAM) {
            throw new IOException("the connection ended within the body of a message");
        }
        bodyComplete = true;
        return false;
    }

    private void beginChunk() throws IOException, MalformedMessageException {
        remainingBytes = readChunkSize();
        if (remainingBytes == 0) {
            while (!readChunkLine().isEmpty()) {
                // Trailer fields are ignored.
            }
            bodyComplete = true;
        }
    }

    private void consume(int count) throws IOException, MalformedMessageException {
        input.skip(count);
        if (remainingBytes == UNTIL_END_OF_STREAM) {
            return;
        }
        remainingBytes -= count;
        if (remainingBytes > 0) {
            return;
        }
        if (!chunked) {
            bodyComplete = true;
        } else if (!readChunkLine().isEmpty()) {
            throw new MalformedMessageException(400, "a chunk is longer than its size");
        }
    }

    private long readChunkSize() throws IOException, MalformedMessageException {
        String size = readChunkLine().split(";", 2)[0].trim();
        // Some senders pad the size with zeros.
        if (!size.matches("0{0,16}[0-9a-fA-F]{1,8}")) {
            throw new MalformedMessageException(400, "not the size of a chunk");
        }
        return Long.parseLong(size, 16);
    }

    private String readChunkLine() throws IOException, MalformedMessageException {
        StringBuilder line = new StringBuilder();
        while (true) {
            char character = (char) (input.nextByte() & 0xff);
            int length = line.length();
            if (character == '\n' && length > 0 && line.charAt(length - 1) == '\r') {
                line.setLength(length - 1);
                return line.toString();
            }
            if (character == '\n' || length >= MAX_CHUNK_LINE_CHARS) {
                throw new MalformedMessageException(400, "not a line between chunks");
            }
            line.append(character);
        }
    }
}
