package cottonlock.proxy;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.util.ArrayList;
import java.util.List;

/**
 * The body of one message, until it is given back: in buffers of the pool, a long one's rest in a
 * file.
 */
final class MessageBody {
    /** Bytes in buffers: more of each would crowd the pool's others. */
    static final int IN_HAND = 64 << 10;

    /** For what clients send: the longest that operators allow, 32 MB, and a little. */
    static final long MOST = 34L << 20;

    private final BufferPool buffers;
    private final BodySpillFiles spools;
    private final List<byte[]> parts = new ArrayList<>(1);
    private int inHand;
    private FileChannel rest;
    private long restLength;

    /** With null files it must fit into what may be in hand. */
    MessageBody(BufferPool buffers, BodySpillFiles spools) {
        this.buffers = buffers;
        this.spools = spools;
    }

    long length() {
        return inHand + restLength;
    }

    /** Whether it is so long that writing it can take a while. */
    boolean spooled() {
        return rest != null;
    }

    void add(byte[] from, int at, int count) throws IOException {
        while (count > 0 && inHand < IN_HAND && rest == null) {
            int used = inHand % BufferPool.SIZE;
            if (used == 0) {
                // The first may be waited for; where more bodies come than fit, the rest goes into
                // files.
                byte[] part = parts.isEmpty() || spools == null ? buffers.take() : buffers.spare();
                if (part == null) {
                    break;
                }
                parts.add(part);
            }
            int n = Math.min(count, BufferPool.SIZE - used);
            System.arraycopy(from, at, parts.get(parts.size() - 1), used, n);
            inHand += n;
            at += n;
            count -= n;
        }
        if (count > 0) {
            if (rest == null) {
                rest = spools.open();
            }
            restLength += count;
            spools.grow(count);
            for (ByteBuffer bytes = ByteBuffer.wrap(from, at, count); bytes.hasRemaining(); ) {
                rest.write(bytes);
            }
        }
    }

    /** Copies a body that fits behind what the target, a buffer, already holds. */
    void copyTo(byte[] target, int at) {
        System.arraycopy(parts.get(0), 0, target, at, inHand);
    }

    void writeTo(OutputStream out) throws IOException {
        int left = inHand;
        for (byte[] part : parts) {
            out.write(part, 0, Math.min(left, BufferPool.SIZE));
            left -= BufferPool.SIZE;
        }
        if (rest != null) {
            byte[] buffer = buffers.take();
            try {
                // Read by place: two attempts of one request may be written at once.
                ByteBuffer bytes = ByteBuffer.wrap(buffer);
                for (long at = 0; at < restLength; at += bytes.position()) {
                    bytes.clear();
                    if (rest.read(bytes, at) < 0) {
                        throw new IOException("the file of a body is cut off");
                    }
                    out.write(buffer, 0, bytes.position());
                }
            } finally {
                buffers.give(buffer);
            }
        }
    }

    /** Gives all back; the body is empty from then on. */
    void release() {
        parts.forEach(buffers::give);
        parts.clear();
        inHand = 0;
        if (rest != null) {
            spools.close(rest, restLength);
            rest = null;
            restLength = 0;
        }
    }
}
