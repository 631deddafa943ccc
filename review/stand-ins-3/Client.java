import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** A client's connection: writes requests and reads whole answers, one after the other. */
final class Client implements AutoCloseable {
    /** One whole answer. */
    static final class Answer {
        int status;
        final Map<String, String> fields = new HashMap<>();
        byte[] body = {};

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    final Socket socket = new Socket();
    final InputStream in;

    Client(int port) throws IOException {
        this(port, 0);
    }

    /** With a receive buffer of so many bytes; 0: the system's. */
    Client(int port, int receiveBuffer) throws IOException {
        if (receiveBuffer > 0) {
            socket.setReceiveBufferSize(receiveBuffer);
        }
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress("127.0.0.1", port), 2_000);
        in = new BufferedInputStream(socket.getInputStream(), 8_192);
    }

    void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** A GET of the protocol page's form. */
    static String get(String category, String rest, String id, String tenant, long timeoutMillis) {
        return "GET /"
                + category
                + rest
                + " HTTP/1.1\r\nHost: origin.svc\r\nX-Request-ID: "
                + id
                + "\r\nX-Priority-Class: "
                + category
                + "\r\nX-Tenant-Id: "
                + tenant
                + "\r\nX-Timeout-Ms: "
                + timeoutMillis
                + "\r\n\r\n";
    }

    /** Reads one answer; throws at an end before its last byte. */
    Answer readAnswer() throws IOException {
        Answer answer = new Answer();
        String start = readLine();
        answer.status = Integer.parseInt(start.split(" ", 3)[1]);
        for (String line = readLine(); !line.isEmpty(); line = readLine()) {
            int colon = line.indexOf(':');
            answer.fields.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        if ("chunked".equals(answer.fields.get("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (int size = chunkSize(); size > 0; size = chunkSize()) {
                body.write(readFully(size));
                readLine();
            }
            readLine();
            answer.body = body.toByteArray();
        } else if (answer.fields.containsKey("content-length")) {
            answer.body = readFully(Integer.parseInt(answer.fields.get("content-length")));
        } else {
            answer.body = in.readAllBytes();
        }
        return answer;
    }

    private int chunkSize() throws IOException {
        return Integer.parseInt(readLine().split(";")[0].trim(), 16);
    }

    byte[] readFully(int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("the connection ended within a body");
        }
        return bytes;
    }

    String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int octet = in.read();
            if (octet < 0) {
                throw new EOFException("the connection ended");
            }
            if (octet == '\n') {
                return line.toString();
            }
            if (octet != '\r') {
                line.append((char) octet);
            }
        }
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // Closed already.
        }
    }
}
