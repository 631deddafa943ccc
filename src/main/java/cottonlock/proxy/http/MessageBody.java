package cottonlock.proxy.http;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * The body of one message: held in buffers of the pool, and in a spill file from the point where
 * {@link #MAX_BUFFERED_BYTES} are exceeded or no spare buffer is available. Written by one thread,
 * then read by any; {@link #release} gives buffers and file back.
 */
public final class MessageBody {
    /** The most bytes of one body that are held in buffers. */
    public static final int MAX_BUFFERED_BYTES = 64 << 10;

    /** The longest body that a client may send: 32 MB and some reserve. */
    public static final long MAX_REQUEST_BYTES = 34L << 20;

    private final BufferPool buffers;

    /** Null if the body must fit into buffers. */
    private final SpillFile file;

    private final List<byte[]> parts = new ArrayList<>(1);
    private int bufferedBytes;

    /** An empty body that must fit into buffers. */
    public MessageBody(BufferPool buffers) {
        this(buffers, null);
    }

    /** An empty body; what does not fit into buffers is written to the file. */
    MessageBody(BufferPool buffers, SpillFile file) {
        this.buffers = buffers;
        this.file = file;
    }

    /** The length of the body in bytes. */
    public long length() {
        return bufferedBytes + (file == null ? 0 : file.length());
    }

    /** Whether part of the body is in a file, so that writing it can take longer. */
    public boolean isInFile() {
        return file != null && file.length() > 0;
    }

    /** Appends bytes. */
    public void add(byte[] bytes, int offset, int count) throws IOException {
        int buffered = isInFile() ? 0 : addToBuffers(bytes, offset, count);
        if (buffered < count) {
            file.append(bytes, offset + buffered, count - buffered);
        }
    }

    /** Appends as many bytes as fit into buffers, and returns their number. */
    private int addToBuffers(byte[] bytes, int offset, int count) throws IOException {
        int added = 0;
        while (added < count && bufferedBytes < MAX_BUFFERED_BYTES) {
            int used = bufferedBytes % BufferPool.SIZE;
            if (used == 0) {
                // Waits for the first buffer, and for each if there are no spill files; otherwise
                // takes only spare buffers.
                boolean mayWait = parts.isEmpty() || file == null;
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

    /** Copies a body that fits into one buffer to the target, from an offset on. */
    void copyTo(byte[] target, int offset) {
        System.arraycopy(parts.get(0), 0, target, offset, bufferedBytes);
    }

    /** Writes the body; several threads may do so at the same time. */
    public void writeTo(OutputStream out) throws IOException {
        int remaining = bufferedBytes;
        for (byte[] part : parts) {
            out.write(part, 0, Math.min(remaining, BufferPool.SIZE));
            remaining -= BufferPool.SIZE;
        }
        if (isInFile()) {
            byte[] buffer = buffers.take();
            try {
                // Reads at explicit offsets: two attempts of one request may be written at once.
                ByteBuffer bytes = ByteBuffer.wrap(buffer);
                for (long fileOffset = 0;
                        fileOffset < file.length();
                        fileOffset += bytes.position()) {
                    bytes.clear();
                    file.read(bytes, fileOffset);
                    out.write(buffer, 0, bytes.position());
                }
            } finally {
                buffers.give(buffer);
            }
        }
    }

    /** Gives buffers and file back; the body is empty afterwards. */
    public void release() {
        parts.forEach(buffers::give);
        parts.clear();
        bufferedBytes = 0;
        if (file != null) {
            file.close();
        }
    }
}
