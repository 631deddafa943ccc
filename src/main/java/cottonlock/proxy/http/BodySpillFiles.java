package cottonlock.proxy.http;

import cottonlock.proxy.io.Sockets;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The files that hold what of long bodies does not fit into buffers. Each is deleted as it is
 * opened, so it is gone with its descriptor. Thread-safe.
 */
public final class BodySpillFiles {
    private static final long MAX_WAIT_MILLIS = 1_000;

    /** Bytes in all files together. */
    private static final long MAX_BYTES = 1L << 30;

    private final Path folder;
    private final Semaphore permits;
    private final AtomicLong bytes = new AtomicLong();

    /** Files in that folder, so many at a time. */
    public BodySpillFiles(Path folder, int maxFiles) {
        this.folder = folder;
        this.permits = new Semaphore(maxFiles);
    }

    /** Opens a file, for which it may wait; the caller gives it to {@link #close}. */
    FileChannel open() throws IOException {
        try {
            if (!permits.tryAcquire(MAX_WAIT_MILLIS, TimeUnit.MILLISECONDS)) {
                throw new BufferPool.ExhaustedException();
            }
        } catch (InterruptedException e) {
            throw new IOException("interrupted while waiting for a file", e);
        }
        try {
            Path file = Files.createTempFile(folder, "cottonlock-", ".body");
            FileChannel channel =
                    FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE);
            Files.delete(file);
            return channel;
        } catch (IOException e) {
            permits.release();
            throw e;
        }
    }

    /**
     * Counts bytes that are about to be written.
     *
     * @throws BufferPool.ExhaustedException if all files together would become too large
     */
    void reserve(int count) throws IOException {
        if (bytes.addAndGet(count) > MAX_BYTES) {
            throw new BufferPool.ExhaustedException();
        }
    }

    /** Closes a file for which so many bytes were reserved. */
    void close(FileChannel file, long reservedBytes) {
        Sockets.close(file);
        bytes.addAndGet(-reservedBytes);
        permits.release();
    }
}
