package cottonlock.proxy.http;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/**
 * Parses HTTP/1.1 messages from one socket, strictly: ambiguous messages are rejected. One thread
 * reads; {@link #lastReadNanos} and {@link #isAwaitingSpace} may be called from any thread. Reads
 * end with a {@link SocketTimeoutException} at the deadline that {@link #setTimeout} or {@link
 * #setPacing} has set.
 */
public final class HttpReader {
    /** A rate that any sender reaches, so that {@link #setPacing} limits only its pauses. */
    public static final long NEGLIGIBLE_RATE_BYTES_PER_SECOND = 16;

    private final TimedSocketInput input;
    private final BodyFraming framing;

    /** Reads through the given buffer, which remains owned by the caller, and never ahead. */
    public HttpReader(Socket socket, byte[] buffer) throws IOException {
        this(socket, buffer, null);
    }

    /**
     * Reads through the given buffer, which remains owned by the caller.
     *
     * @param readAheadBuffers hold what {@link #readAhead} reads beyond the given buffer, until
     *     {@link #releaseReadAhead}; null: nothing is read beyond it
     */
    public HttpReader(Socket socket, byte[] buffer, BufferPool readAheadBuffers)
            throws IOException {
        this.input = new TimedSocketInput(socket, buffer, new ReadAheadQueue(readAheadBuffers));
        this.framing = new BodyFraming(input);
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

    /**
     * Whether a read ends with an {@link BufferPool.ExhaustedException} once {@link #cancel} has
     * been called: while a request is read that no one has submitted yet.
     */
    public void setCancellable(boolean cancellable) {
        input.setCancellable(cancellable);
    }

    /** Gives the message up that is being read, if it may be. Callable from any thread. */
    public void cancel() {
        input.cancel();
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
        return input.hasBufferedBytes();
    }

    /**
     * Reads more bytes without parsing them, waiting for the first until the deadline. They are
     * parsed later, in order.
     */
    public ReadAheadResult readAhead() throws IOException {
        try {
            return input.readAhead();
        } catch (SocketTimeoutException e) {
            return ReadAheadResult.TIMED_OUT;
        }
    }

    /** Gives the buffers of what was read ahead back; the last call to a reader. */
    public void releaseReadAhead() {
        input.releaseReadAhead();
    }

    /**
     * Whether all bytes that have arrived have been read, so that the next read waits or finds the
     * end of the stream.
     */
    public boolean hasCaughtUp() throws IOException {
        return input.hasCaughtUp();
    }

    /** When {@link #hasCaughtUp} last held, by the monotonic clock. */
    public long caughtUpNanos() {
        return input.caughtUpNanos();
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

    /** When the last byte of what has been parsed was read, by the monotonic clock. */
    public long lastParsedReadNanos() {
        return input.lastConsumedReadNanos();
    }

    /**
     * By the monotonic clock, a time before which the last byte of what has been parsed had not
     * arrived. Earlier than when it was read if it may have waited for it, because there was no
     * space for a body.
     */
    public long earliestArrivalNanos() {
        return input.earliestArrivalNanos();
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
        input.beginMessage();
        MessageHead head = readHead();
        head.checkRequestLine();
        framing.begin(head, 0);
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
            framing.beginResponse(head);
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

    /** The length of the body in bytes as its head declares it; -1 if the head declares none. */
    public long declaredLength() {
        return framing.declaredLength();
    }

    /** Whether all of the body has been received, though perhaps not been read from the buffer. */
    public boolean isBodyBuffered() {
        return framing.isBuffered();
    }

    /** Whether all of the body has been read. */
    public boolean isBodyComplete() {
        return framing.isComplete();
    }

    /**
     * Reads the whole body of the message whose head was read last, waiting for space if necessary;
     * on failure its buffers are released.
     *
     * @throws MalformedMessageException also if the body is longer than {@code maxBytes}
     * @throws BufferPool.ExhaustedException if there is no space and the policy ended the wait
     */
    public MessageBody readBody(
            BufferPool buffers, BodySpillFiles files, long maxBytes, SpaceWaitPolicy waitPolicy)
            throws IOException, MalformedMessageException {
        if (framing.isComplete()) {
            return new MessageBody(buffers);
        }
        long length = declaredLength();
        long mostBytes = length >= 0 ? length : maxBytes;
        SpillFile file = files.file(mostBytes, length >= 0, () -> mayWaitForSpace(waitPolicy));
        try {
            return readBody(new MessageBody(buffers, file), maxBytes, true);
        } finally {
            input.resume();
        }
    }

    /**
     * Whether the sender is not read for now because there is no space for its body. Callable from
     * any thread.
     */
    public boolean isAwaitingSpace() {
        return input.isPaused();
    }

    private boolean mayWaitForSpace(SpaceWaitPolicy policy) {
        input.pause();
        boolean mayBeSent =
                declaredLength() < 0 || declaredLength() <= TimedSocketInput.MAX_BYTES_IN_TRANSIT;
        return policy.mayWait(input.nanosSincePause(), mayBeSent);
    }

    /**
     * Reads the body if it fits into buffers, else nothing or only its first part; see {@link
     * #isBodyComplete}. Of a body of unknown length, only what arrives before the given time: it
     * may be long, and its sender slow.
     *
     * @param endNanos by the monotonic clock
     */
    public MessageBody readBodyStart(BufferPool buffers, long endNanos)
            throws IOException, MalformedMessageException {
        MessageBody body = new MessageBody(buffers);
        if (declaredLength() >= 0) {
            return readBody(body, MessageBody.MAX_BUFFERED_BYTES, false);
        }
        return readBody(body, MessageBody.MAX_BUFFERED_BYTES, () -> arrivesBefore(endNanos), false);
    }

    /** Whether more of the message arrives, or the stream ends, before the given time. */
    private boolean arrivesBefore(long endNanos) throws IOException, MalformedMessageException {
        // The line end of a chunk is no part of what follows, for which reading may have to wait.
        framing.endBufferedChunk();
        return framing.isComplete()
                || (System.nanoTime() - endNanos < 0
                        && (hasBufferedBytes() || input.fillBefore(endNanos)));
    }

    /** Whether to go on reading a body. */
    private interface ReadCondition {
        boolean holds() throws IOException, MalformedMessageException;
    }

    private MessageBody readBody(MessageBody body, long maxBytes, boolean requireWhole)
            throws IOException, MalformedMessageException {
        return readBody(body, maxBytes, () -> true, requireWhole);
    }

    private MessageBody readBody(
            MessageBody body, long maxBytes, ReadCondition condition, boolean requireWhole)
            throws IOException, MalformedMessageException {
        boolean done = false;
        try {
            while (declaredLength() <= maxBytes
                    && condition.holds()
                    && framing.continues()
                    && body.length() < maxBytes) {
                long space = maxBytes - body.length();
                int count = (int) Math.min(framing.bufferedBytes(), space);
                body.add(input.buffer(), input.position(), count);
                input.resume();
                framing.consume(count);
            }
            if (requireWhole && (declaredLength() > maxBytes || framing.continues())) {
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
            while (framing.continues()) {
                int count = framing.bufferedBytes();
                consumer.accept(input.buffer(), input.position(), count);
                framing.consume(count);
            }
        } catch (MalformedMessageException e) {
            throw new IOException(e.getMessage(), e);
        }
    }

    /** The next line of a body that consists of lines, without its line end; null at the end. */
    public String readLine(int maxChars) throws IOException, MalformedMessageException {
        StringBuilder line = new StringBuilder();
        while (framing.continues()) {
            byte octet = input.peek(0);
            framing.consume(1);
            // What is buffered behind a line begins the next one.
            framing.endChunk();
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
}
