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
 * The spill files, which hold the parts of long bodies that do not fit into buffers. Each file is
 * deleted as soon as it is opened, so the system frees it when its descriptor is closed.
 * Thread-safe.
 */
public final class BodySpillFiles {
    private static final long MAX_WAIT_MILLIS = 1_000;

    /** Total bytes in all files. */
    private static final long MAX_BYTES = 1L << 30;

    private final Path folder;
    private final Semaphore permits;
    private final AtomicLong bytes = new AtomicLong();

    /** Files in that folder, at most {@code maxFiles} at a time. */
    public BodySpillFiles(Path folder, int maxFiles) {
        this.folder = folder;
        this.permits = new Semaphore(maxFiles);
    }

    /** Opens a file, waiting for a permit if necessary; the caller passes it to {@link #close}. */
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
     * Reserves space for bytes that are about to be written.
     *
     * @throws BufferPool.ExhaustedException if the total size of all files would be too large
     */
    void reserve(int count) throws IOException {
        if (bytes.addAndGet(count) > MAX_BYTES) {
            throw new BufferPool.ExhaustedException();
        }
    }

    /** Closes a file and releases the bytes that were reserved for it. */
    void close(FileChannel file, long reservedBytes) {
        Sockets.close(file);
        bytes.addAndGet(-reservedBytes);
        permits.release();
    }
}
