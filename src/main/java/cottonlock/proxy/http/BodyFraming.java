package cottonlock.proxy.http;

import java.io.IOException;

/**
 * Where the body of a message ends, by its length, its chunks or its stream. Used by one thread.
 */
final class BodyFraming {
    /** The value of {@code remainingBytes} for a body that ends with the connection. */
    private static final long UNTIL_END_OF_STREAM = Long.MAX_VALUE;

    /** The length of the line end behind the data of a chunk. */
    private static final int CHUNK_END_BYTES = 2;

    private final TimedSocketInput input;
    private final ChunkParser chunks;
    private boolean chunked;

    /** Bytes that remain of the body, or of its current chunk. */
    private long remainingBytes;

    private boolean bodyComplete = true;

    /** Whether the line end behind the data of the last chunk has not been read. */
    private boolean chunkEndDue;

    BodyFraming(TimedSocketInput input) {
        this.input = input;
        this.chunks = new ChunkParser(input);
    }

    /** Begins the body of a response; without a length it ends with the connection. */
    void beginResponse(MessageHead head) throws MalformedMessageException {
        begin(head, head.hasNoBody() ? 0 : UNTIL_END_OF_STREAM);
        bodyComplete |= head.hasNoBody();
    }

    /** Begins the body of a message. */
    void begin(MessageHead head, long lengthIfUnknown) throws MalformedMessageException {
        String coding = head.singleValue("Transfer-Encoding");
        String length = head.singleValue("Content-Length");
        chunked = coding != null;
        chunkEndDue = false;
        if (chunked) {
            checkChunked(head, coding, length);
            remainingBytes = 0;
            bodyComplete = false;
            return;
        }
        if (length != null && !MessageHeadParser.isDecimal(length)) {
            throw new MalformedMessageException(400, "Content-Length is not a number");
        }
        remainingBytes = length == null ? lengthIfUnknown : Long.parseLong(length);
        bodyComplete = remainingBytes == 0;
    }

    private static void checkChunked(MessageHead head, String coding, String length)
            throws MalformedMessageException {
        if (length != null) {
            throw new MalformedMessageException(400, "both Transfer-Encoding and Content-Length");
        }
        if (head.isHttp10()) {
            throw new MalformedMessageException(400, "a transfer coding in HTTP/1.0");
        }
        if (!coding.equalsIgnoreCase("chunked")) {
            throw new MalformedMessageException(501, "a transfer coding other than chunked");
        }
    }

    /** The length of the body in bytes as its head declares it; -1 if the head declares none. */
    long declaredLength() {
        if (bodyComplete) {
            return 0;
        }
        return chunked || remainingBytes == UNTIL_END_OF_STREAM ? -1 : remainingBytes;
    }

    /** Whether all of the body has been read. */
    boolean isComplete() {
        return bodyComplete;
    }

    /** Whether all of the body is in the buffer; not known of chunks. */
    boolean isBuffered() {
        return bodyComplete || (!chunked && remainingBytes == bufferedBytes());
    }

    /** The number of the body's bytes that are in the buffer, without a gap. */
    int bufferedBytes() {
        return (int) Math.min(remainingBytes, input.bufferedBytes());
    }

    /** Whether the body continues, in which case at least one byte of it is in the buffer. */
    boolean continues() throws IOException, MalformedMessageException {
        if (!bodyComplete && chunked && remainingBytes == 0) {
            beginChunk();
        }
        if (bodyComplete) {
            return false;
        }
        if (input.hasBufferedBytes() || input.fill()) {
            return true;
        }
        if (remainingBytes != UNTIL_END_OF_STREAM) {
            throw new IOException("the connection ended within the body of a message");
        }
        bodyComplete = true;
        return false;
    }

    private void beginChunk() throws IOException, MalformedMessageException {
        endChunk();
        remainingBytes = chunks.readSize();
        if (remainingBytes == 0) {
            chunks.skipTrailer();
            bodyComplete = true;
        }
    }

    /** Reads the line end behind the data of a chunk, if that has not been done. */
    void endChunk() throws IOException, MalformedMessageException {
        if (chunkEndDue) {
            chunks.readEnd();
            chunkEndDue = false;
        }
    }

    /** The same, if the line end is in the buffer. */
    void endBufferedChunk() throws IOException, MalformedMessageException {
        if (chunkEndDue && input.bufferedBytes() >= CHUNK_END_BYTES) {
            endChunk();
        }
    }

    /** Consumes bytes of the body, which are in the buffer. */
    void consume(int count) throws IOException, MalformedMessageException {
        input.skip(count);
        if (remainingBytes == UNTIL_END_OF_STREAM) {
            return;
        }
        remainingBytes -= count;
        if (remainingBytes > 0) {
            return;
        }
        if (chunked) {
            // Some senders write the line end together with the next chunk.
            chunkEndDue = true;
        } else {
            bodyComplete = true;
        }
    }
}
