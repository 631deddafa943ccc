package cottonlock.net;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;

/** The body of one message, kept in buffers of the pool until it is given back. */
final class Body {
    /** The protocol's limit. */
    static final int MOST = 64 << 10;

    private final Buffers buffers;
    private final List<byte[]> parts = new ArrayList<>(1);
    private int length;

    Body(Buffers buffers) {
        this.buffers = buffers;
    }

    int length() {
        return length;
    }

    void add(byte[] from, int at, int count) throws IOException {
        while (count > 0) {
            int used = length % Buffers.SIZE;
            if (used == 0) {
                parts.add(buffers.take());
            }
            int n = Math.min(count, Buffers.SIZE - used);
            System.arraycopy(from, at, parts.get(parts.size() - 1), used, n);
            length += n;
            at += n;
            count -= n;
        }
    }

    /** Copies the body if it fits behind what the target already holds. */
    boolean copyTo(byte[] target, int at) {
        if (length > target.length - at || parts.size() > 1) {
            return false;
        }
        if (length > 0) {
            System.arraycopy(parts.get(0), 0, target, at, length);
        }
        return true;
    }

    void writeTo(OutputStream out) throws IOException {
        int left = length;
        for (byte[] part : parts) {
            out.write(part, 0, Math.min(left, Buffers.SIZE));
            left -= Buffers.SIZE;
        }
    }

    /** Gives the buffers back; the body is empty from then on. */
    void release() {
        parts.forEach(buffers::give);
        parts.clear();
        length = 0;
    }
}
