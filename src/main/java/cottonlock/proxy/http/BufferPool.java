package cottonlock.proxy.http;

import java.io.IOException;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/**
 * A bounded pool of buffers of one size. Thread-safe; each buffer taken is given back exactly once.
 */
public final class BufferPool {
    /** The head of a message must fit into one; most bodies do. */
    public static final int SIZE = 8 << 10;

    private static final long MAX_WAIT_MILLIS = 500;

    private final ConcurrentLinkedDeque<byte[]> free = new ConcurrentLinkedDeque<>();
    private final Semaphore permits;
    private final int reservedForConnections;

    /**
     * A pool of at most {@code maxBuffers}.
     *
     * @param reservedForConnections buffers that {@link #takeSpare} leaves in the pool
     */
    public BufferPool(int maxBuffers, int reservedForConnections) {
        this.permits = new Semaphore(maxBuffers);
        this.reservedForConnections = reservedForConnections;
    }

    /** No buffer, or no place in a file, became free within the time that a caller may wait. */
    public static final class ExhaustedException extends IOException {
        private static final long serialVersionUID = 1L;

        ExhaustedException() {
            super("no buffer is free");
        }
    }

    /**
     * Takes a buffer, for which it may wait.
     *
     * @throws ExhaustedException if none became free in time
     */
    public byte[] take() throws IOException {
        try {
            if (!permits.tryAcquire(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS)) {
                throw new ExhaustedException();
            }
        } catch (InterruptedException e) {
            throw new IOException("interrupted while waiting for a buffer", e);
        }
        byte[] buffer = free.pollLast();
        return buffer != null ? buffer : new byte[SIZE];
    }

    /**
     * Takes a buffer beyond those that connections need to read requests; null if there is none
     * now.
     */
    byte[] takeSpare() throws IOException {
        return permits.availablePermits() > reservedForConnections ? take() : null;
    }

    /** Gives a buffer back. */
    public void give(byte[] buffer) {
        free.addLast(buffer);
        permits.release();
    }

    /** How many buffers may be taken now. */
    public int available() {
        return permits.availablePermits();
    }
}
