package cottonlock.simulator;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** Collects the lines of one reply and sends them together. */
final class Reply {
    private final OutputStream out;
    private byte[] buffer = new byte[1 << 14];
    private int length;

    Reply(OutputStream out) {
        this.out = out;
    }

    Reply start(String message, String instance) {
        return raw(message).field(instance);
    }

    Reply start(String message) {
        return raw(message);
    }

    Reply field(String value) {
        room(1);
        buffer[length++] = ' ';
        return raw(value);
    }

    Reply field(long value) {
        room(21);
        buffer[length++] = ' ';
        if (value < 0) {
            return raw(Long.toString(value));
        }
        int digits = 1;
        for (long v = value; v >= 10; v /= 10) {
            digits++;
        }
        long v = value;
        for (int i = length + digits - 1; i >= length; i--) {
            buffer[i] = (byte) ('0' + v % 10);
            v /= 10;
        }
        length += digits;
        return this;
    }

    void end() {
        room(1);
        buffer[length++] = '\n';
    }

    void send() throws IOException {
        out.write(buffer, 0, length);
        out.flush();
        length = 0;
    }

    private Reply raw(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        room(bytes.length);
        System.arraycopy(bytes, 0, buffer, length, bytes.length);
        length += bytes.length;
        return this;
    }

    private void room(int more) {
        if (length + more > buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(length + more, 2 * buffer.length));
        }
    }
}
