package cottonlock.simulator;

import cottonlock.setup.InvalidSettingsException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/** Reads lines of space-separated fields without making a string of what is only a number. */
final class LineReader {
    private final InputStream in;
    private byte[] buffer = new byte[1 << 16];
    private int filled;
    private int lineStart;
    private int lineEnd;
    private int at;
    private long number;

    LineReader(InputStream in) {
        this.in = in;
    }

    /** The number of the current line, from 1. */
    long number() {
        return number;
    }

    /** Moves to the next line; false at the end of the input. */
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
            int kept = Math.max(0, filled - lineStart);
            byte[] target = kept > buffer.length / 2 ? new byte[buffer.length * 2] : buffer;
            System.arraycopy(buffer, Math.min(lineStart, filled), target, 0, kept);
            buffer = target;
            scan -= lineStart;
            lineStart = 0;
            filled = kept;
            int n = in.read(buffer, filled, buffer.length - filled);
            if (n < 0) {
                if (kept > 0) {
                    number++;
                    throw new InvalidSettingsException("the input ends within a line");
                }
                return false;
            }
            filled += n;
        }
    }

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

    /** The next field as it stands. */
    String word(String what) {
        int end = fieldEnd(what);
        String word = new String(buffer, at, end - at, StandardCharsets.UTF_8);
        at = end + 1;
        return word;
    }

    /** Passes over the next field. */
    void skip(String what) {
        at = fieldEnd(what) + 1;
    }

    /** The next field as a whole number; absent ('-') gives 0. */
    long whole(String what) {
        int end = fieldEnd(what);
        int i = at;
        boolean negative = buffer[i] == '-';
        if (negative) {
            i++;
            if (i == end) {
                at = end + 1;
                return 0;
            }
        }
        long value = 0;
        for (; i < end; i++) {
            int digit = buffer[i] - '0';
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
