import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** A sound backend: begins a request when its last byte has come, and gives it to the case. */
final class Backend {
    /** One request that has come whole. */
    static final class Request {
        String method;
        String target;
        final Map<String, String> fields = new HashMap<>();
        byte[] body = {};
        Socket socket;

        String id() {
            return fields.getOrDefault("x-request-id", "");
        }
    }

    /** What the backend does with a request. */
    interface Work {
        void serve(Request request, OutputStream out) throws Exception;
    }

    final String name;
    final String zone;
    final ServerSocket server = new ServerSocket();
    volatile String health = "active";
    private final Work work;

    Backend(String name, String zone, Work work) throws IOException {
        this.name = name;
        this.zone = zone;
        this.work = work;
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress("127.0.0.1", 0), 256);
        start("accept", this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    private static void start(String name, Runnable task) {
        Thread thread = new Thread(null, task, name, 256 << 10);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                start("backend", () -> serve(socket));
            } catch (IOException e) {
                // Closed.
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (String start = line(in); start != null; start = line(in)) {
                Request request = new Request();
                String[] words = start.split(" ");
                request.method = words[0];
                request.target = words[1];
                request.socket = socket;
                for (String field = line(in); field != null && !field.isEmpty(); field = line(in)) {
                    int colon = field.indexOf(':');
                    request.fields.put(
                            field.substring(0, colon).toLowerCase(Locale.ROOT),
                            field.substring(colon + 1).trim());
                }
                int length = Integer.parseInt(request.fields.getOrDefault("content-length", "0"));
                request.body = in.readNBytes(length);
                if (request.body.length < length) {
                    return;
                }
                work.serve(request, out);
            }
        } catch (Exception e) {
            // The proxy has closed the connection.
        }
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int octet = in.read();
            if (octet < 0) {
                return null;
            }
            if (octet == '\n') {
                return line.toString();
            }
            if (octet != '\r') {
                line.append((char) octet);
            }
        }
    }

    /** Writes a whole answer. */
    static void answer(OutputStream out, int status, String text) throws IOException {
        answer(out, status, text.getBytes(StandardCharsets.ISO_8859_1));
    }

    static void answer(OutputStream out, int status, byte[] body) throws IOException {
        byte[] head =
                ("HTTP/1.1 " + status + " X\r\nContent-Length: " + body.length + "\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        out.write(all);
    }

    /** Its entry in discovery's list. */
    String entry() {
        return "{\"host\":\""
                + name
                + "\",\"dial\":\"127.0.0.1:"
                + port()
                + "\",\"site\":\""
                + zone
                + "\",\"class\":\"std\",\"block\":0,\"health\":\""
                + health
                + "\",\"share\":1.0,\"born_ms\":0}";
    }
}
