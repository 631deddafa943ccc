package cottonlock.proxy.io;

import java.io.IOException;

/**
 * Assembles the JSON messages of a stream of lines. Usually each line is a message, but an object
 * may also span several lines. Not thread-safe.
 */
public final class JsonLineAssembler {
    private final int maxChars;
    private final String tooLongMessage;
    private final StringBuilder message = new StringBuilder();

    /** The number of brackets that are open after the last line. */
    private int depth;

    /** Whether the last line ended inside a string. */
    private boolean inString;

    /**
     * Starts with an empty message.
     *
     * @param maxChars the length of the longest message, including line ends
     * @param tooLongMessage the exception's message for a longer one
     */
    public JsonLineAssembler(int maxChars, String tooLongMessage) {
        this.maxChars = maxChars;
        this.tooLongMessage = tooLongMessage;
    }

    /**
     * Adds a line, without its line end.
     *
     * @return the message that the line completes, blank for a keep-alive line; null if the message
     *     is not complete yet
     * @throws IOException if the message is too long
     */
    public String add(String line) throws IOException {
        message.append(line).append('\n');
        scan(line);
        if (message.length() > maxChars) {
            throw new IOException(tooLongMessage);
        }
        if (depth > 0 || inString) {
            return null;
        }
        String complete = message.toString();
        message.setLength(0);
        return complete;
    }

    private void scan(String line) {
        boolean escaped = false;
        for (int i = 0; i < line.length(); i++) {
            char character = line.charAt(i);
            if (escaped) {
                escaped = false;
            } else if (inString) {
                escaped = character == '\\';
                inString = character != '"';
            } else if (character == '"') {
                inString = true;
            } else if (character == '{' || character == '[') {
                depth++;
            } else if (character == '}' || character == ']') {
                depth--;
            }
        }
    }
}
