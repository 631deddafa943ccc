package cottonlock.proxy.io;

import cottonlock.proxy.http.HttpReader;
import cottonlock.proxy.http.MalformedMessageException;
import cottonlock.proxy.http.MessageHead;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/**
 * One HTTP GET whose response body is a stream of lines. One thread connects and reads; {@link
 * #close} may be called by any thread and ends a blocking read.
 */
public final class HttpLineStream implements AutoCloseable {
    private static final String STATUS_OK = "200";

    private final Socket socket = new Socket();
    private final byte[] buffer;
    private InetSocketAddress server;
    private HttpReader reader;

    /** A stream that is not connected yet; it owns the buffer until it is closed. */
    public HttpLineStream(byte[] buffer) {
        this.buffer = buffer;
    }

    /** Connects to a server. */
    public void connect(InetSocketAddress address, int timeoutMillis) throws IOException {
        server = address;
        socket.connect(address, timeoutMillis);
    }

    /**
     * Sends the request and reads the head of its response.
     *
     * @param timeoutMillis the time limit for the head, and for all reads until {@link #readWithin}
     *     is called
     * @throws IOException also if the status is not 200
     */
    public void get(String target, long timeoutMillis)
            throws IOException, MalformedMessageException {
        String host = server.getHostString() + ":" + server.getPort();
        String request = "GET " + target + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        reader = new HttpReader(socket, buffer);
        // A deadline for the whole head, which bytes that arrive slowly do not extend.
        reader.setTimeout(timeoutMillis);
        MessageHead head = reader.readResponseHead(0);
        if (!head.status().equals(STATUS_OK)) {
            throw new IOException("status " + head.status());
        }
    }

    /** Sets a deadline for all reads from now on; a timeout of 0 means no deadline. */
    public void readWithin(long timeoutMillis) {
        reader.setTimeout(timeoutMillis);
    }

    /** Whether bytes have been received that are not returned yet. */
    public boolean hasBufferedBytes() {
        return reader.hasBufferedBytes();
    }

    /**
     * Waits until there are bytes to read.
     *
     * @return false at the end of the stream
     * @throws SocketTimeoutException at the deadline, if nothing has been read
     */
    public boolean awaitBytes() throws IOException {
        return reader.awaitFirstByte();
    }

    /**
     * The next line without its line end, with each byte as one character.
     *
     * @return null at the end of the stream
     * @throws MalformedMessageException if the line is too long or the body is malformed
     */
    public String readLine(int maxChars) throws IOException, MalformedMessageException {
        return reader.readLine(maxChars);
    }

    @Override
    public void close() {
        Sockets.close(socket);
    }
}
