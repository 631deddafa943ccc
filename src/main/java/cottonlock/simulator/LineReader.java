package cottonlock.simulator;

import cottonlock.setup.InvalidSettingsException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;

/**
 * Reads lines of fields separated by spaces. Numbers are parsed in the buffer without creating
 * strings. The fields of a line are read in order; each method takes the name of its field for
 * error messages, and throws {@link InvalidSettingsException} if it is absent or malformed. Used by
 * one thread.
 */
final class LineReader {
    private static final int INITIAL_CAPACITY_BYTES = 1 << 16;

    private final InputStream in;
    private byte[] buffer = new byte[INITIAL_CAPACITY_BYTES];
    private int filledBytes;
    private int lineStart;
    private int lineEnd;

    /** Where the next field starts. */
    private int position;

    private long lineNumber;

    LineReader(InputStream in) {
        this.in = in;
    }

    /** The number of the current line, from 1. */
    long lineNumber() {
        return lineNumber;
    }

    /**
     * Moves to the next line; returns false at the end of the input.
     *
     * @throws InvalidSettingsException if the input ends within a line
     */
    boolean nextLine() throws IOException {
        lineStart = lineNumber == 0 ? 0 : lineEnd + 1;
        int scan = lineStart;
        while (true) {
            for (; scan < filledBytes; scan++) {
                if (buffer[scan] == '\n') {
                    lineEnd = scan;
                    position = lineStart;
                    lineNumber++;
                    return true;
                }
            }
            scan -= lineStart;
            if (!fillBuffer()) {
                return false;
            }
        }
    }

    /**
     * Moves the unfinished line to the start of the buffer and reads more input; returns false at
     * the end of the input.
     */
    private boolean fillBuffer() throws IOException {
        int kept = Math.max(0, filledBytes - lineStart);
        byte[] target = kept > buffer.length / 2 ? new byte[buffer.length * 2] : buffer;
        System.arraycopy(buffer, Math.min(lineStart, filledBytes), target, 0, kept);
        buffer = target;
        lineStart = 0;
        filledBytes = kept;
        int read = in.read(buffer, filledBytes, buffer.length - filledBytes);
        if (read >= 0) {
            filledBytes += read;
            return true;
        }
        if (kept > 0) {
            lineNumber++;
            throw new InvalidSettingsException("the input ends within a line");
        }
        return false;
    }

    /** Whether the line has another field. */
    boolean hasMoreFields() {
        return position < lineEnd;
    }

    private int fieldEnd(String fieldName) {
        if (position >= lineEnd) {
            throw new InvalidSettingsException("missing field: " + fieldName);
        }
        int end = position;
        while (end < lineEnd && buffer[end] != ' ') {
            end++;
        }
        if (end == position) {
            throw new InvalidSettingsException("missing field: " + fieldName);
        }
        return end;
    }

    /** Reads the next field as text. */
    String readText(String fieldName) {
        int end = fieldEnd(fieldName);
        String word = new String(buffer, position, end - position, StandardCharsets.UTF_8);
        position = end + 1;
        return word;
    }

    /** Skips the next field. */
    void skipField(String fieldName) {
        position = fieldEnd(fieldName) + 1;
    }

    /** Reads the next field as a whole number; an absent value ('-') gives 0. */
    long readLong(String fieldName) {
        int end = fieldEnd(fieldName);
        boolean negative = buffer[position] == '-';
        int digits = negative ? position + 1 : position;
        if (digits == end) {
            position = end + 1;
            return 0;
        }
        long value = 0;
        for (int index = digits; index < end; index++) {
            int digit = buffer[index] - '0';
            if (digit < 0 || digit > 9 || value > (Long.MAX_VALUE - digit) / 10) {
                throw new InvalidSettingsException(
                        fieldName + " is not a whole number: " + readText(fieldName));
            }
            value = value * 10 + digit;
        }
        position = end + 1;
        return negative ? -value : value;
    }

    /** Reads the next field as a whole number from 0 up to, but not including, a limit. */
    int readIndex(String fieldName, int limit) {
        int start = position;
        long value = readLong(fieldName);
        if (value < 0 || value >= limit) {
            position = start;
            throw new InvalidSettingsException(
                    fieldName + " is out of range: " + readText(fieldName));
        }
        return (int) value;
    }
}
