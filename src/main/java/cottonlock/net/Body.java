package cottonlock.net;

import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;

/** The body of one message, kept in buffers of the pool until it is given back. */
final class Body {
    /** The protocol's limit, for what clients send. */
    static final int MOST = 64 << 10;
    /** For answers: backends have sent six times the protocol's limit; more would crowd the pool's others. */
    static final int MOST_OF_ANSWER = 1 << 20;

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

    /** Copies a body that fits behind what the target, a buffer, already holds. */
    void copyTo(byte[] target, int at) {
        System.arraycopy(parts.get(0), 0, target, at, length);
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
