package cottonlock.proxy.http;

import java.io.IOException;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * A bounded pool of buffers of one size. Thread-safe; each buffer taken must be given back exactly
 * once.
 */
public final class BufferPool {
    /** Bytes of one buffer. The head of a message must fit into one buffer; most bodies do. */
    public static final int SIZE = 8 << 10;

    private static final long MAX_WAIT_MILLIS = 500;

    private final ConcurrentLinkedDeque<byte[]> free = new ConcurrentLinkedDeque<>();
    private final Semaphore permits;
    private final int maxBuffers;
    private final int reservedForConnections;
    private final int reservedForMessages;
    private final BooleanSupplier maySpareGrow;

    /**
     * A pool of at most {@code maxBuffers}.
     *
     * @param reservedForConnections buffers that {@link #takeSpare} leaves in the pool
     */
    public BufferPool(int maxBuffers, int reservedForConnections) {
        this(maxBuffers, reservedForConnections, () -> true);
    }

    /**
     * A pool of at most {@code maxBuffers}, which may be limited further while it is in use.
     *
     * @param reservedForConnections buffers that {@link #takeSpare} leaves in the pool
     * @param maySpareGrow whether there is memory at present for new buffers that are not reserved;
     *     those that exist can always be taken
     */
    public BufferPool(int maxBuffers, int reservedForConnections, BooleanSupplier maySpareGrow) {
        this.maySpareGrow = maySpareGrow;
        this.maxBuffers = maxBuffers;
        this.permits = new Semaphore(maxBuffers);
        this.reservedForConnections = reservedForConnections;
        this.reservedForMessages =
                reservedForConnections + (maxBuffers - reservedForConnections) / 2;
    }

    /** No buffer, or no space in spill files, was available within the time limit. */
    public static final class ExhaustedException extends IOException {
        private static final long serialVersionUID = 1L;

        ExhaustedException(String message) {
            super(message);
        }
    }

    /**
     * Takes a buffer, waiting for a limited time if none is free.
     *
     * @throws ExhaustedException if no buffer was available in time
     */
    public byte[] take() throws IOException {
        try {
            if (!permits.tryAcquire(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS)) {
                throw new ExhaustedException("no buffer is free");
            }
        } catch (InterruptedException e) {
            throw new IOException("interrupted while waiting for a buffer", e);
        }
        return acquiredBuffer();
    }

    private byte[] acquiredBuffer() {
        byte[] buffer = free.pollLast();
        return buffer != null ? buffer : new byte[SIZE];
    }

    private byte[] takeUnlessOnlyLeft(int reserved) {
        boolean isAllowed = !free.isEmpty() || maySpareGrow.getAsBoolean();
        return isAllowed && permits.availablePermits() > reserved && permits.tryAcquire()
                ? acquiredBuffer()
                : null;
    }

    /**
     * Takes a buffer that is not reserved for connections to read requests; null if there is none
     * at present.
     */
    byte[] takeSpare() {
        return takeUnlessOnlyLeft(reservedForConnections);
    }

    /**
     * Takes a buffer for input that can't be parsed yet; null if only those are left that the
     * messages being served may need.
     */
    byte[] takeForReadAhead() {
        return takeUnlessOnlyLeft(reservedForMessages);
    }

    /** Gives a buffer back. */
    public void give(byte[] buffer) {
        free.addLast(buffer);
        permits.release();
    }

    /** Drops the buffers that are not in use, so that their memory can be collected. */
    public void releaseUnused() {
        free.clear();
    }

    /** The number of buffers that are in use. */
    public int inUse() {
        return maxBuffers - permits.availablePermits();
    }

    /** The number of buffers that can be taken at present. */
    public int available() {
        return permits.availablePermits();
    }
}
