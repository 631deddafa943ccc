package cottonlock.proxy;

import java.io.IOException;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/** The pool of buffers, all of one size; who takes one gives it back in one place. */
public final class BufferPool {
    /** The head of a message must fit into one; most bodies do. */
    public static final int SIZE = 8 << 10;

    /**
     * How long a taker waits when all are out, in milliseconds: answers free some well within a due
     * time.
     */
    private static final long WAIT = 500;

    private final ConcurrentLinkedDeque<byte[]> free = new ConcurrentLinkedDeque<>();
    private final Semaphore left;
    private final int reserved;

    /** So many, of which some are kept for connections. */
    public BufferPool(int most, int reserved) {
        this.left = new Semaphore(most);
        this.reserved = reserved;
    }

    /** All buffers are out, and stayed out for as long as one may wait. */
    static final class NoneFree extends IOException {
        private static final long serialVersionUID = 1L;

        NoneFree() {
            super("no buffer is free");
        }
    }

    public byte[] take() throws IOException {
        try {
            if (!left.tryAcquire(WAIT, TimeUnit.MILLISECONDS)) {
                throw new NoneFree();
            }
        } catch (InterruptedException e) {
            throw new IOException("interrupted while waiting for a buffer", e);
        }
        byte[] buffer = free.pollLast();
        return buffer != null ? buffer : new byte[SIZE];
    }

    /**
     * One that the others can spare now, or null: bodies must not take what connections need to be
     * read.
     */
    byte[] spare() throws IOException {
        return left.availablePermits() > reserved ? take() : null;
    }

    public void give(byte[] buffer) {
        free.addLast(buffer);
        left.release();
    }

    int left() {
        return left.availablePermits();
    }
}
