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
 * #close} may be called by any thread and ends a read.
 */
public final class HttpLineStream implements AutoCloseable {
    private static final String STATUS_OK = "200";

    private final Socket socket = new Socket();
    private final byte[] buffer;
    private InetSocketAddress server;
    private HttpReader reader;

    /** A stream that is not connected yet; the buffer is its own until it is closed. */
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
     * @param timeoutMillis the time for the head, and for what is read until {@link #readWithin}
     * @throws IOException also for a status other than 200
     */
    public void get(String target, long timeoutMillis)
            throws IOException, MalformedMessageException {
        String host = server.getHostString() + ":" + server.getPort();
        String request = "GET " + target + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        reader = new HttpReader(socket, buffer);
        // A deadline for the whole head: one that trickles in does not extend it.
        reader.setTimeout(timeoutMillis);
        MessageHead head = reader.readResponseHead(0);
        if (!head.status().equals(STATUS_OK)) {
            throw new IOException("status " + head.status());
        }
    }

    /** All reads from now on must be done within that time; 0: no limit. */
    public void readWithin(long timeoutMillis) {
        reader.setTimeout(timeoutMillis);
    }

    /** Whether bytes have been received that are not read yet. */
    public boolean hasBufferedBytes() {
        return reader.hasBufferedBytes();
    }

    /**
     * Waits until there is something to read.
     *
     * @return false at the end of the stream
     * @throws SocketTimeoutException when the time is over; nothing has been read then
     */
    public boolean awaitBytes() throws IOException {
        return reader.awaitFirstByte();
    }

    /**
     * The next line without its end, each byte as one character.
     *
     * @return null at the end of the stream
     * @throws MalformedMessageException for a line that is too long, or no proper body
     */
    public String readLine(int maxChars) throws IOException, MalformedMessageException {
        return reader.readLine(maxChars);
    }

    @Override
    public void close() {
        Sockets.close(socket);
    }
}
