package cottonlock.simulator;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Collects the messages of one reply, one per line with fields separated by spaces, and writes them
 * together. Numbers are formatted in the buffer without creating strings. Used by one thread.
 */
final class Reply {
    private static final int INITIAL_CAPACITY_BYTES = 1 << 14;

    /** A space and the digits of the largest long. */
    private static final int MAX_NUMBER_BYTES = 21;

    private final OutputStream out;
    private byte[] buffer = new byte[INITIAL_CAPACITY_BYTES];
    private int length;

    Reply(OutputStream out) {
        this.out = out;
    }

    /** Starts a message that concerns an instance. */
    Reply start(String message, String instance) {
        return append(message).field(instance);
    }

    /** Starts a message that concerns no instance. */
    Reply start(String message) {
        return append(message);
    }

    /** Appends a field. */
    Reply field(String value) {
        ensureCapacity(1);
        buffer[length++] = ' ';
        return append(value);
    }

    /** Appends a field with a number. */
    Reply field(long value) {
        ensureCapacity(MAX_NUMBER_BYTES);
        buffer[length++] = ' ';
        if (value < 0) {
            return append(Long.toString(value));
        }
        int end = length + digitCount(value);
        long remaining = value;
        for (int index = end - 1; index >= length; index--) {
            buffer[index] = (byte) ('0' + remaining % 10);
            remaining /= 10;
        }
        length = end;
        return this;
    }

    private static int digitCount(long value) {
        int digits = 1;
        for (long remaining = value; remaining >= 10; remaining /= 10) {
            digits++;
        }
        return digits;
    }

    /** Ends the message. */
    void end() {
        ensureCapacity(1);
        buffer[length++] = '\n';
    }

    /** Writes and flushes all messages. */
    void send() throws IOException {
        out.write(buffer, 0, length);
        out.flush();
        length = 0;
    }

    private Reply append(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        ensureCapacity(bytes.length);
        System.arraycopy(bytes, 0, buffer, length, bytes.length);
        length += bytes.length;
        return this;
    }

    private void ensureCapacity(int moreBytes) {
        if (length + moreBytes > buffer.length) {
            buffer = Arrays.copyOf(buffer, Math.max(length + moreBytes, 2 * buffer.length));
        }
    }
}
