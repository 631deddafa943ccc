package cottonlock.proxy.http;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.ArrayList;
import java.util.List;

/**
 * The body of one message: in buffers of the pool, and what does not fit into {@link
 * #MAX_BUFFERED_BYTES} in a file. Written by one thread, then read by any; {@link #release} gives
 * all back.
 */
public final class MessageBody {
    /** Bytes of one body in buffers. */
    public static final int MAX_BUFFERED_BYTES = 64 << 10;

    /** Bytes of the longest body that a client may send: 32 MB and some reserve. */
    public static final long MAX_REQUEST_BYTES = 34L << 20;

    private final BufferPool buffers;
    private final BodySpillFiles files;
    private final List<byte[]> parts = new ArrayList<>(1);
    private int bufferedBytes;
    private FileChannel file;
    private long fileBytes;

    /** An empty body; without files (null) it must fit into buffers. */
    public MessageBody(BufferPool buffers, BodySpillFiles files) {
        this.buffers = buffers;
        this.files = files;
    }

    /** Its length in bytes. */
    public long length() {
        return bufferedBytes + fileBytes;
    }

    /** Whether part of it is in a file, so that writing it can take a while. */
    public boolean isInFile() {
        return file != null;
    }

    /** Appends bytes. */
    public void add(byte[] bytes, int offset, int count) throws IOException {
        int buffered = file == null ? addToBuffers(bytes, offset, count) : 0;
        if (buffered < count) {
            addToFile(bytes, offset + buffered, count - buffered);
        }
    }

    /** Appends as many bytes as buffers take; how many they were. */
    private int addToBuffers(byte[] bytes, int offset, int count) throws IOException {
        int added = 0;
        while (added < count && bufferedBytes < MAX_BUFFERED_BYTES) {
            int used = bufferedBytes % BufferPool.SIZE;
            if (used == 0) {
                // The first buffer may be waited for; further ones are taken if there are spare
                // ones.
                boolean mayWait = parts.isEmpty() || files == null;
                byte[] part = mayWait ? buffers.take() : buffers.takeSpare();
                if (part == null) {
                    break;
                }
                parts.add(part);
            }
            int length = Math.min(count - added, BufferPool.SIZE - used);
            System.arraycopy(bytes, offset + added, parts.get(parts.size() - 1), used, length);
            bufferedBytes += length;
            added += length;
        }
        return added;
    }

    private void addToFile(byte[] bytes, int offset, int count) throws IOException {
        if (file == null) {
            file = files.open();
        }
        fileBytes += count;
        files.reserve(count);
        ByteBuffer source = ByteBuffer.wrap(bytes, offset, count);
        while (source.hasRemaining()) {
            file.write(source);
        }
    }

    /** Copies a body of one buffer into the target from an offset on. */
    void copyTo(byte[] target, int offset) {
        System.arraycopy(parts.get(0), 0, target, offset, bufferedBytes);
    }

    /** Writes it; several threads may do so at a time. */
    public void writeTo(OutputStream out) throws IOException {
        int remaining = bufferedBytes;
        for (byte[] part : parts) {
            out.write(part, 0, Math.min(remaining, BufferPool.SIZE));
            remaining -= BufferPool.SIZE;
        }
        if (file != null) {
            byte[] buffer = buffers.take();
            try {
                // Read by place: two attempts of one request may be written at once.
                ByteBuffer bytes = ByteBuffer.wrap(buffer);
                for (long fileOffset = 0; fileOffset < fileBytes; fileOffset += bytes.position()) {
                    bytes.clear();
                    if (file.read(bytes, fileOffset) < 0) {
                        throw new IOException("the file of a body is cut off");
                    }
                    out.write(buffer, 0, bytes.position());
                }
            } finally {
                buffers.give(buffer);
            }
        }
    }

    /** Gives buffers and file back; the body is empty from then on. */
    public void release() {
        parts.forEach(buffers::give);
        parts.clear();
        bufferedBytes = 0;
        if (file != null) {
            files.close(file, fileBytes);
            file = null;
            fileBytes = 0;
        }
    }
}
