package cottonlock.simulator;

import cottonlock.setup.InvalidSettingsException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/**
 * Reads lines of fields separated by spaces. Numbers are parsed in the buffer, with no string for
 * each. The fields of a line are read in order; each method names its field, for error messages,
 * and throws {@link InvalidSettingsException} if it is absent or malformed. Used by one thread.
 */
final class LineReader {
    private static final int INITIAL_CAPACITY_BYTES = 1 << 16;

    private final InputStream in;
    private byte[] buffer = new byte[INITIAL_CAPACITY_BYTES];
    private int filled;
    private int lineStart;
    private int lineEnd;

    /** Where the next field begins. */
    private int at;

    private long number;

    LineReader(InputStream in) {
        this.in = in;
    }

    /** The number of the current line, from 1. */
    long number() {
        return number;
    }

    /**
     * Moves to the next line; false at the end of the input.
     *
     * @throws InvalidSettingsException if the input ends within a line
     */
    boolean next() throws IOException {
        lineStart = number == 0 ? 0 : lineEnd + 1;
        int scan = lineStart;
        while (true) {
            for (; scan < filled; scan++) {
                if (buffer[scan] == '\n') {
                    lineEnd = scan;
                    at = lineStart;
                    number++;
                    return true;
                }
            }
            scan -= lineStart;
            if (!fill()) {
                return false;
            }
        }
    }

    /** Moves the unfinished line to the buffer's start and reads on; false at the end. */
    private boolean fill() throws IOException {
        int kept = Math.max(0, filled - lineStart);
        byte[] target = kept > buffer.length / 2 ? new byte[buffer.length * 2] : buffer;
        System.arraycopy(buffer, Math.min(lineStart, filled), target, 0, kept);
        buffer = target;
        lineStart = 0;
        filled = kept;
        int read = in.read(buffer, filled, buffer.length - filled);
        if (read >= 0) {
            filled += read;
            return true;
        }
        if (kept > 0) {
            number++;
            throw new InvalidSettingsException("the input ends within a line");
        }
        return false;
    }

    /** Whether the line has another field. */
    boolean hasMore() {
        return at < lineEnd;
    }

    private int fieldEnd(String what) {
        if (at >= lineEnd) {
            throw new InvalidSettingsException("no " + what);
        }
        int end = at;
        while (end < lineEnd && buffer[end] != ' ') {
            end++;
        }
        if (end == at) {
            throw new InvalidSettingsException("no " + what);
        }
        return end;
    }

    /** The next field as text. */
    String word(String what) {
        int end = fieldEnd(what);
        String word = new String(buffer, at, end - at, StandardCharsets.UTF_8);
        at = end + 1;
        return word;
    }

    /** Skips the next field. */
    void skip(String what) {
        at = fieldEnd(what) + 1;
    }

    /** The next field as a whole number; absent ('-') gives 0. */
    long whole(String what) {
        int end = fieldEnd(what);
        boolean negative = buffer[at] == '-';
        int digits = negative ? at + 1 : at;
        if (digits == end) {
            at = end + 1;
            return 0;
        }
        long value = 0;
        for (int index = digits; index < end; index++) {
            int digit = buffer[index] - '0';
            if (digit < 0 || digit > 9 || value > (Long.MAX_VALUE - digit) / 10) {
                throw new InvalidSettingsException(what + " is not a whole number: " + word(what));
            }
            value = value * 10 + digit;
        }
        at = end + 1;
        return negative ? -value : value;
    }

    /** The next field as a whole number from 0 up to, not including, a limit. */
    int index(String what, int limit) {
        int start = at;
        long value = whole(what);
        if (value < 0 || value >= limit) {
            at = start;
            throw new InvalidSettingsException(what + " is out of range: " + word(what));
        }
        return (int) value;
    }
}
