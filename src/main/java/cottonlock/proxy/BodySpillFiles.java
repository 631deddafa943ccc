package cottonlock.proxy;

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
 * The files that long bodies go on into: each is deleted as it is opened, and gone with its
 * descriptor.
 */
final class BodySpillFiles {
    /** Milliseconds that a body waits for a descriptor: its client is not read for as long. */
    private static final long WAIT = 1_000;

    /** Bytes in all files together: some thirty of the longest bodies. */
    private static final long MOST = 1L << 30;

    private final Path folder;
    private final Semaphore places;
    private final AtomicLong bytes = new AtomicLong();

    BodySpillFiles(Path folder, int most) {
        this.folder = folder;
        this.places = new Semaphore(most);
    }

    FileChannel open() throws IOException {
        try {
            if (!places.tryAcquire(WAIT, TimeUnit.MILLISECONDS)) {
                throw new BufferPool.NoneFree();
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
            places.release();
            throw e;
        }
    }

    /** Counts bytes that are about to be written: a full disk is everybody's trouble. */
    void grow(int count) throws IOException {
        if (bytes.addAndGet(count) > MOST) {
            throw new BufferPool.NoneFree();
        }
    }

    void close(FileChannel file, long held) {
        Sockets.close(file);
        bytes.addAndGet(-held);
        places.release();
    }
}
