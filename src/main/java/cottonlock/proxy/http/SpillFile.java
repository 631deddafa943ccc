package cottonlock.proxy.http;

import cottonlock.proxy.io.Sockets;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * The spill file of one body, created with its first bytes. Written by one thread, then read by
 * any; closed once.
 */
final class SpillFile {
    private final Path folder;
    private final SpillSpace.Allocation space;
    private final SpillSpace.WaitPolicy waitPolicy;

    /** Null until the first bytes are written. */
    private FileChannel channel;

    private long length;

    SpillFile(Path folder, SpillSpace.Allocation space, SpillSpace.WaitPolicy waitPolicy) {
        this.folder = folder;
        this.space = space;
        this.waitPolicy = waitPolicy;
    }

    /** The number of bytes in the file. */
    long length() {
        return length;
    }

    /**
     * Appends bytes, waiting for space if necessary.
     *
     * @throws BufferPool.ExhaustedException if there is no space
     */
    void append(byte[] bytes, int offset, int count) throws IOException {
        space.use(length + count, waitPolicy);
        if (channel == null) {
            channel = create();
        }
        ByteBuffer source = ByteBuffer.wrap(bytes, offset, count);
        while (source.hasRemaining()) {
            channel.write(source);
        }
        length += count;
    }

    /** Creates a file without a name, so that the system frees it when it is closed. */
    private FileChannel create() throws IOException {
        Path file = Files.createTempFile(folder, "cottonlock-", ".body");
        try {
            return FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE);
        } finally {
            Files.delete(file);
        }
    }

    /** Reads bytes from an offset on; several threads may do so at the same time. */
    void read(ByteBuffer target, long offset) throws IOException {
        if (channel.read(target, offset) < 0) {
            throw new IOException("the spill file of a message body is truncated");
        }
    }

    /** Closes the file and returns its space. */
    void close() {
        if (channel != null) {
            Sockets.close(channel);
        }
        length = 0;
        space.release();
    }
}
