package cottonlock.proxy.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;

/**
 * Reads from one socket through a buffer of the caller's, within a deadline. One thread reads;
 * {@link #lastReadNanos} may be asked for from any thread.
 */
final class TimedSocketInput {
    private static final long NANOS_PER_MILLISECOND = 1_000_000;
    private static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLISECOND;

    private final Socket socket;
    private final InputStream input;
    private final byte[] buffer;

    /** The bytes from {@code position} to {@code end} have been read and not consumed. */
    private int position;

    private int end;

    /** By the monotonic clock; 0: there is none. */
    private long deadlineNanos;

    /** With pacing, the longest time without a byte; 0: the deadline is not extended by reads. */
    private long maxPauseNanos;

    /** With pacing, by how much each byte extends the deadline. */
    private long nanosPerByte;

    private long discardedBytes;
    private volatile long lastReadNanos = System.nanoTime();

    TimedSocketInput(Socket socket, byte[] buffer) throws IOException {
        this.socket = socket;
        this.input = socket.getInputStream();
        this.buffer = buffer;
    }

    /** All reads from now on must be done within so many milliseconds; 0: no deadline. */
    void setTimeout(long timeoutMillis) {
        deadlineNanos =
                timeoutMillis == 0 ? 0 : System.nanoTime() + timeoutMillis * NANOS_PER_MILLISECOND;
        maxPauseNanos = 0;
    }

    /**
     * From now on no pause may last longer than so many milliseconds, nor may less than so many
     * bytes a second arrive for longer than that.
     */
    void setPacing(long maxPauseMillis, long minBytesPerSecond) {
        setTimeout(maxPauseMillis);
        maxPauseNanos = maxPauseMillis * NANOS_PER_MILLISECOND;
        nanosPerByte = NANOS_PER_SECOND / minBytesPerSecond;
    }

    /** When bytes were read last, by the monotonic clock. */
    long lastReadNanos() {
        return lastReadNanos;
    }

    /** How many bytes lie in the buffer and are not consumed. */
    int bufferedBytes() {
        return end - position;
    }

    /** The byte so many places behind the next one; it must be in the buffer. */
    byte peek(int offset) {
        return buffer[position + offset];
    }

    /** Consumes so many bytes, which must be in the buffer. */
    void skip(int count) {
        position += count;
    }

    /** The next byte. */
    byte nextByte() throws IOException {
        if (bufferedBytes() == 0 && !fill()) {
            throw new IOException("the message ends early");
        }
        return buffer[position++];
    }

    byte[] buffer() {
        return buffer;
    }

    int position() {
        return position;
    }

    boolean isFull() {
        return bufferedBytes() == buffer.length;
    }

    /** Whether bytes lie in the buffer or in the socket. */
    boolean hasUnconsumedBytes() throws IOException {
        return bufferedBytes() > 0 || input.available() > 0;
    }

    /** Reads on; if the buffer is full, what it holds is discarded and counted first. */
    boolean fillDiscardingIfFull() throws IOException {
        if (isFull()) {
            discardedBytes += buffer.length;
            position = end;
        }
        return fill();
    }

    long discardedBytes() {
        return discardedBytes;
    }

    /** Reads and discards what still comes, so many bytes at most, until the other side ends. */
    void discard(int maxBytes) throws IOException {
        int count = bufferedBytes();
        position = end;
        while (count < maxBytes && fill()) {
            count += bufferedBytes();
            position = end;
        }
    }

    /** Reads what has come; false when the other side has ended its sending. */
    boolean fill() throws IOException {
        return fill(buffer.length);
    }

    /** The same, so many bytes at most. */
    boolean fill(int maxBytes) throws IOException {
        makeSpace();
        socket.setSoTimeout(remainingMillis());
        int count = input.read(buffer, end, Math.min(maxBytes, buffer.length - end));
        if (count <= 0) {
            return false;
        }
        end += count;
        lastReadNanos = System.nanoTime();
        if (maxPauseNanos > 0) {
            deadlineNanos =
                    Math.min(
                            deadlineNanos + count * nanosPerByte,
                            System.nanoTime() + maxPauseNanos);
        }
        return true;
    }

    private void makeSpace() {
        if (position == end) {
            position = 0;
            end = 0;
        } else if (end == buffer.length) {
            System.arraycopy(buffer, position, buffer, 0, end - position);
            end -= position;
            position = 0;
        }
    }

    /**
     * The socket's timeout for the next read: a sender of one byte a second must not hold the
     * thread beyond the deadline.
     */
    private int remainingMillis() throws SocketTimeoutException {
        if (deadlineNanos == 0) {
            return 0;
        }
        long millis = (deadlineNanos - System.nanoTime()) / NANOS_PER_MILLISECOND;
        if (millis <= 0) {
            throw new SocketTimeoutException("too slow");
        }
        return (int) Math.min(Integer.MAX_VALUE, millis);
    }
}
