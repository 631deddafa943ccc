package cottonlock.proxy.http;

import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Bytes that were read from a connection before they can be parsed, in the order of the stream.
 * They are held in buffers of the pool, a limited number for each connection and for all of them
 * together; what has been taken in is never dropped. Used by one thread.
 */
final class ReadAheadQueue {
    /** The most buffers of one connection: 256 KiB. */
    static final int MAX_BUFFERS = (256 << 10) / BufferPool.SIZE;

    /** Null: the queue has no space. */
    private final BufferPool buffers;

    private final Deque<byte[]> parts = new ArrayDeque<>();

    /** Where the bytes begin in the first buffer, and where they end in the last one. */
    private int firstPosition;

    private int lastEnd;

    ReadAheadQueue(BufferPool buffers) {
        this.buffers = buffers;
    }

    boolean isEmpty() {
        return parts.isEmpty();
    }

    int byteCount() {
        return parts.isEmpty() ? 0 : (parts.size() - 1) * BufferPool.SIZE + lastEnd - firstPosition;
    }

    /** Makes space for at least one byte, without waiting; false if there is none at present. */
    boolean makeSpace() {
        if (!parts.isEmpty() && lastEnd < BufferPool.SIZE) {
            return true;
        }
        byte[] part =
                buffers == null || parts.size() >= MAX_BUFFERS ? null : buffers.takeForReadAhead();
        if (part == null) {
            return false;
        }
        parts.addLast(part);
        lastEnd = 0;
        return true;
    }

    /**
     * Appends bytes of a stream, waiting for the first; {@link #makeSpace} must have made space.
     *
     * @return their number; -1 at the end of the stream
     */
    int readFrom(InputStream input) throws IOException {
        try {
            int count = input.read(parts.getLast(), lastEnd, BufferPool.SIZE - lastEnd);
            lastEnd += Math.max(0, count);
            return count;
        } finally {
            if (lastEnd == 0) {
                removeLast();
            }
        }
    }

    /** Gives the last buffer back, which is empty; the one before it is full. */
    private void removeLast() {
        buffers.give(parts.removeLast());
        lastEnd = parts.isEmpty() ? 0 : BufferPool.SIZE;
    }

    /** Moves bytes to an array, from a position on, and returns their number. */
    int takeInto(byte[] target, int targetPosition) {
        int taken = 0;
        while (!parts.isEmpty() && targetPosition + taken < target.length) {
            int end = parts.size() == 1 ? lastEnd : BufferPool.SIZE;
            int count = Math.min(end - firstPosition, target.length - targetPosition - taken);
            System.arraycopy(
                    parts.getFirst(), firstPosition, target, targetPosition + taken, count);
            taken += count;
            firstPosition += count;
            if (firstPosition == end) {
                buffers.give(parts.removeFirst());
                firstPosition = 0;
            }
        }
        return taken;
    }

    /** Drops all bytes and gives the buffers back. */
    void clear() {
        parts.forEach(buffers::give);
        parts.clear();
        firstPosition = 0;
        lastEnd = 0;
    }
}
