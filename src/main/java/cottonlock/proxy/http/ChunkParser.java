package cottonlock.proxy.http;

import java.io.IOException;

/** Parses what stands between the data of the chunks of a body, strictly. Used by one thread. */
final class ChunkParser {
    private static final int MAX_LINE_CHARS = 256;

    private final TimedSocketInput input;

    ChunkParser(TimedSocketInput input) {
        this.input = input;
    }

    /** Reads the line before a chunk and returns the size of the chunk in bytes. */
    long readSize() throws IOException, MalformedMessageException {
        String size = readLine().split(";", 2)[0].trim();
        // Some senders pad the size with zeros.
        if (!size.matches("0{0,16}[0-9a-fA-F]{1,8}")) {
            throw new MalformedMessageException(400, "not the size of a chunk");
        }
        return Long.parseLong(size, 16);
    }

    /** Reads the line end after the data of a chunk. */
    void readEnd() throws IOException, MalformedMessageException {
        if (!readLine().isEmpty()) {
            throw new MalformedMessageException(400, "a chunk is longer than its size");
        }
    }

    /** Reads what follows the last chunk; its fields are ignored. */
    void skipTrailer() throws IOException, MalformedMessageException {
        while (!readLine().isEmpty()) {
            // The next line.
        }
    }

    private String readLine() throws IOException, MalformedMessageException {
        StringBuilder line = new StringBuilder();
        while (true) {
            char character = (char) (input.nextByte() & 0xff);
            int length = line.length();
            if (character == '\n' && length > 0 && line.charAt(length - 1) == '\r') {
                line.setLength(length - 1);
                return line.toString();
            }
            if (character == '\n' || length >= MAX_LINE_CHARS) {
                throw new MalformedMessageException(400, "not a line between chunks");
            }
            line.append(character);
        }
    }
}
