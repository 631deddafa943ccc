package cottonlock.proxy.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;

/**
 * Reads from one socket through a buffer supplied by the caller, within a deadline. One thread
 * reads; {@link #lastReadNanos} and {@link #isPaused} may be called from any thread.
 */
final class TimedSocketInput {
    private static final long NANOS_PER_MILLISECOND = 1_000_000;
    private static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLISECOND;

    /** More bytes than the socket buffers of a sender and of this side hold. */
    static final long MAX_BYTES_IN_TRANSIT = 16 << 20;

    private final Socket socket;
    private final InputStream input;
    private final byte[] buffer;
    private final ReadAheadQueue readAhead;
    private final ArrivalTimes arrivalTimes = new ArrivalTimes();

    /** The number of bytes that have been read from the socket. */
    private long totalReadBytes;

    /** The bytes from {@code position} to {@code end} have been read and not consumed. */
    private int position;

    private int end;

    /** By the monotonic clock; 0: no deadline. */
    private long deadlineNanos;

    /** The longest time without a byte, if pacing is on; 0: reads do not extend the deadline. */
    private long maxPauseNanos;

    /** Until when the read under way waits at most, whatever the deadline; 0: no limit. */
    private long waitLimitNanos;

    /** By how much each byte extends the deadline, if pacing is on. */
    private long nanosPerByte;

    /**
     * When all bytes that had arrived were last found to have been read, by the monotonic clock.
     */
    private long caughtUpNanos = System.nanoTime();

    /**
     * Since when the sender may have sent bytes that were not read; 0 if bytes are read as they
     * arrive.
     */
    private long pausedSinceNanos;

    private volatile boolean paused;

    /** Whether the message being read may be given up, and whether it is to be. */
    private boolean cancellable;

    private volatile boolean cancelled;

    /** Bytes read since the last pause. */
    private long bytesSincePause;

    private volatile long lastReadNanos = System.nanoTime();

    /**
     * Reads through a buffer.
     *
     * @param readAhead holds what is read before it is parsed
     */
    TimedSocketInput(Socket socket, byte[] buffer, ReadAheadQueue readAhead) throws IOException {
        this.socket = socket;
        this.input = socket.getInputStream();
        this.buffer = buffer;
        this.readAhead = readAhead;
    }

    /** Sets a deadline for all reads from now on; a timeout of 0 means no deadline. */
    void setTimeout(long timeoutMillis) {
        deadlineNanos =
                timeoutMillis == 0 ? 0 : System.nanoTime() + timeoutMillis * NANOS_PER_MILLISECOND;
        maxPauseNanos = 0;
    }

    /**
     * From now on, reads fail if a pause exceeds {@code maxPauseMillis}, or if the rate stays below
     * {@code minBytesPerSecond} for longer than that.
     */
    void setPacing(long maxPauseMillis, long minBytesPerSecond) {
        setTimeout(maxPauseMillis);
        maxPauseNanos = maxPauseMillis * NANOS_PER_MILLISECOND;
        nanosPerByte = NANOS_PER_SECOND / minBytesPerSecond;
    }

    /** When bytes were last read, by the monotonic clock. */
    long lastReadNanos() {
        return lastReadNanos;
    }

    /** Records that the sender is not read for now. */
    void pause() {
        pausedSinceNanos = pausedSinceNanos == 0 ? System.nanoTime() : pausedSinceNanos;
        bytesSincePause = 0;
        paused = true;
    }

    /** Ends a pause, if there is one: its time does not count against the sender. */
    void resume() {
        if (paused && maxPauseNanos > 0) {
            deadlineNanos = System.nanoTime() + maxPauseNanos;
        }
        paused = false;
    }

    /** Whether the sender is not read for now. Callable from any thread. */
    boolean isPaused() {
        return paused;
    }

    /** Whether reads of the message that follows end once {@link #cancel} has been called. */
    void setCancellable(boolean isCancellable) {
        cancellable = isCancellable;
    }

    /** Ends the next read of a message that may be given up. Callable from any thread. */
    void cancel() {
        cancelled = true;
    }

    private void checkCancelled() throws BufferPool.ExhaustedException {
        if (cancellable && cancelled) {
            throw new BufferPool.ExhaustedException("no memory is free for a further request");
        }
    }

    /** Forgets former pauses: the bytes of a new message count from when they are read. */
    void beginMessage() {
        pausedSinceNanos = 0;
    }

    /** Nanoseconds since the first pause after which the sender has not been caught up with. */
    long nanosSincePause() {
        return pausedSinceNanos == 0 ? 0 : System.nanoTime() - pausedSinceNanos;
    }

    /** When the byte that was consumed last was read, by the monotonic clock. */
    long lastConsumedReadNanos() {
        return arrivalTimes.arrivalNanos(consumedBytes() - 1, lastReadNanos);
    }

    private long consumedBytes() {
        return totalReadBytes - bufferedBytes() - readAhead.byteCount();
    }

    /**
     * By the monotonic clock, a time before which the byte that was consumed last had not arrived:
     * when it was read, unless it may have been waiting to be read since a pause.
     */
    long earliestArrivalNanos() {
        return pausedSinceNanos == 0 ? lastConsumedReadNanos() : pausedSinceNanos;
    }

    /**
     * Whether all bytes that have arrived have been read, so that the next read waits or finds the
     * end of the stream.
     */
    boolean hasCaughtUp() throws IOException {
        if (input.available() > 0) {
            return false;
        }
        caughtUpNanos = System.nanoTime();
        return true;
    }

    /** When {@link #hasCaughtUp} last held, by the monotonic clock. */
    long caughtUpNanos() {
        return caughtUpNanos;
    }

    /** Ends the effect of a pause once all that was sent during it has surely been read. */
    private void checkCaughtUp() throws IOException {
        if (pausedSinceNanos != 0
                && (bytesSincePause > MAX_BYTES_IN_TRANSIT || input.available() == 0)) {
            pausedSinceNanos = 0;
        }
    }

    /** Whether bytes have been read that are not consumed; the next one is in the buffer then. */
    boolean hasBufferedBytes() {
        if (bufferedBytes() == 0 && !readAhead.isEmpty()) {
            takeReadAhead();
        }
        return bufferedBytes() > 0;
    }

    /** The number of bytes in the buffer that are not consumed. */
    int bufferedBytes() {
        return end - position;
    }

    /** The byte at an offset from the next one; it must be in the buffer. */
    byte peek(int offset) {
        return buffer[position + offset];
    }

    /** Consumes {@code count} bytes, which must be in the buffer. */
    void skip(int count) {
        position += count;
    }

    /** Consumes and returns the next byte, reading if the buffer is empty. */
    byte nextByte() throws IOException {
        if (bufferedBytes() == 0 && !fill()) {
            throw new IOException("the connection ended within a message");
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

    /** Whether there are bytes that have been read, or that are available at the socket. */
    boolean hasUnconsumedBytes() throws IOException {
        return hasBufferedBytes() || input.available() > 0;
    }

    /** Reads bytes behind those that are not consumed yet, waiting for the first. */
    ReadAheadResult readAhead() throws IOException {
        if (readAhead.isEmpty() && !isFull()) {
            return fill() ? ReadAheadResult.READ : ReadAheadResult.END_OF_STREAM;
        }
        if (!readAhead.makeSpace()) {
            return ReadAheadResult.NO_SPACE;
        }
        prepareRead();
        int count = readAhead.readFrom(input);
        recordRead(count);
        return count > 0 ? ReadAheadResult.READ : ReadAheadResult.END_OF_STREAM;
    }

    /** Gives the buffers of what was read ahead back. */
    void releaseReadAhead() {
        readAhead.clear();
    }

    private void takeReadAhead() {
        makeSpace();
        end += readAhead.takeInto(buffer, end);
    }

    /** Reads and discards bytes until about {@code maxBytes} or the end of the stream. */
    void discard(int maxBytes) throws IOException {
        int count = bufferedBytes() + readAhead.byteCount();
        readAhead.clear();
        position = end;
        while (count < maxBytes && fill()) {
            count += bufferedBytes();
            position = end;
        }
    }

    /** Reads available bytes, waiting for the first; false at the end of the stream. */
    boolean fill() throws IOException {
        return fill(buffer.length);
    }

    /**
     * Like {@link #fill()}, but gives up waiting at the given time, by the monotonic clock.
     *
     * @return false if nothing has arrived by then, and the stream has not ended
     */
    boolean fillBefore(long endNanos) throws IOException {
        waitLimitNanos = endNanos;
        try {
            fill();
            return true;
        } catch (SocketTimeoutException e) {
            if (System.nanoTime() - endNanos < 0) {
                throw e;
            }
            return false;
        } finally {
            waitLimitNanos = 0;
        }
    }

    /** Like {@link #fill()}, but reads at most {@code maxBytes}. */
    boolean fill(int maxBytes) throws IOException {
        if (!readAhead.isEmpty()) {
            takeReadAhead();
            return true;
        }
        makeSpace();
        prepareRead();
        int count = input.read(buffer, end, Math.min(maxBytes, buffer.length - end));
        end += Math.max(0, count);
        recordRead(count);
        checkCancelled();
        return count > 0;
    }

    private void prepareRead() throws IOException {
        checkCaughtUp();
        socket.setSoTimeout(remainingMillis());
    }

    private void recordRead(int count) {
        if (count <= 0) {
            return;
        }
        long nowNanos = System.nanoTime();
        totalReadBytes += count;
        bytesSincePause += count;
        lastReadNanos = nowNanos;
        arrivalTimes.record(totalReadBytes, nowNanos, consumedBytes());
        if (maxPauseNanos > 0) {
            deadlineNanos =
                    Math.min(deadlineNanos + count * nanosPerByte, nowNanos + maxPauseNanos);
        }
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
     * The socket's timeout for the next read, so that a sender of one byte a second cannot occupy
     * the thread beyond the deadline.
     */
    private int remainingMillis() throws SocketTimeoutException {
        long endNanos = deadlineNanos;
        if (waitLimitNanos != 0 && (endNanos == 0 || waitLimitNanos - endNanos < 0)) {
            endNanos = waitLimitNanos;
        }
        if (endNanos == 0) {
            return 0;
        }
        long remainingNanos = endNanos - System.nanoTime();
        if (remainingNanos <= 0) {
            throw new SocketTimeoutException("the deadline for reading has passed");
        }
        long millis = (remainingNanos + NANOS_PER_MILLISECOND - 1) / NANOS_PER_MILLISECOND;
        return (int) Math.min(Integer.MAX_VALUE, millis);
    }
}
