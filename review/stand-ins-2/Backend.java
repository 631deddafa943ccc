import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** A stand-in of a backend: one thread for each connection, which carries one request at a time. */
final class Backend {
    /** One request and the connection that it came on. */
    static final class Exchange {
        final Socket socket;
        final InputStream in;
        final Map<String, String> fields = new HashMap<>();
        String method;
        String target;
        byte[] body;

        /** When its first and last byte were read, in milliseconds of the script. */
        double firstByte;

        double lastByte;

        Exchange(Socket socket, InputStream in) {
            this.socket = socket;
            this.in = in;
        }

        String id() {
            return fields.getOrDefault("x-request-id", "");
        }

        String key() {
            return fields.get("idempotency-key");
        }

        /** Whether bytes of a further request have come. */
        boolean isFurtherInputWaiting() throws IOException {
            return in.available() > 0;
        }

        void answer(int status, String field, byte[] body) throws IOException {
            byte[] head =
                    ("HTTP/1.1 "
                                    + status
                                    + " Answer\r\n"
                                    + (field == null ? "" : field + "\r\n")
                                    + "Content-Length: "
                                    + body.length
                                    + "\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1);
            byte[] message = java.util.Arrays.copyOf(head, head.length + body.length);
            System.arraycopy(body, 0, message, head.length, body.length);
            socket.getOutputStream().write(message);
        }

        void answer(int status, String text) throws IOException {
            answer(status, null, text.getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    /** What a backend does with a request. */
    interface Handler {
        /** Answers the request, or does not. */
        void handle(Exchange exchange) throws IOException;
    }

    final String id;
    final ServerSocket server;
    private final Handler handler;

    Backend(String id, Handler handler) throws IOException {
        this.id = id;
        this.handler = handler;
        this.server = new ServerSocket(0, 200, Rig.loopback());
        Rig.thread(this::accept);
    }

    String dial() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                Rig.thread(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream(), 16 << 10);
            while (true) {
                Exchange exchange = read(socket, in);
                if (exchange == null) {
                    return;
                }
                if (exchange.id().isEmpty()) {
                    exchange.answer(404, "no id");
                } else {
                    handler.handle(exchange);
                }
            }
        } catch (IOException | RuntimeException e) {
            // The connection has ended.
        }
    }

    private static Exchange read(Socket socket, InputStream in) throws IOException {
        in.mark(1);
        if (in.read() < 0) {
            return null;
        }
        in.reset();
        Exchange exchange = new Exchange(socket, in);
        exchange.firstByte = Rig.millis();
        String[] start = Http.line(in).split(" ", 3);
        exchange.method = start[0];
        exchange.target = start[1];
        for (String line = Http.line(in); line != null && !line.isEmpty(); line = Http.line(in)) {
            int colon = line.indexOf(':');
            exchange.fields.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        String length = exchange.fields.getOrDefault("content-length", "0");
        exchange.body = Http.bytes(in, Long.parseLong(length));
        exchange.lastByte = Rig.millis();
        return exchange;
    }
}
