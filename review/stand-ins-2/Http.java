import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;

/** Reads parts of HTTP/1.1 messages. */
final class Http {
    private Http() {}

    /** One line without its end; null at the end of the stream before its first byte. */
    static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int octet = in.read();
            if (octet < 0) {
                if (line.length() == 0) {
                    return null;
                }
                throw new EOFException("the connection ended within a line");
            }
            if (octet == '\n') {
                int end = line.length();
                if (end > 0 && line.charAt(end - 1) == '\r') {
                    line.setLength(end - 1);
                }
                return line.toString();
            }
            line.append((char) octet);
        }
    }

    /** So many bytes; up to the end of the stream if the length is below 0. */
    static byte[] bytes(InputStream in, long length) throws IOException {
        byte[] body = length < 0 ? in.readAllBytes() : in.readNBytes((int) length);
        if (length >= 0 && body.length < length) {
            throw new EOFException("the connection ended within a body");
        }
        return body;
    }

    /** A chunked body without trailer fields. */
    static byte[] chunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            String size = line(in);
            if (size == null) {
                throw new EOFException("the connection ended within a body");
            }
            int length = Integer.parseInt(size.trim(), 16);
            body.write(bytes(in, length));
            line(in);
            if (length == 0) {
                return body.toByteArray();
            }
        }
    }
}
