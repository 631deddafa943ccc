import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;

/** A stand-in of discovery: one list, whole or as a watch with a line every two seconds. */
final class Discovery {
    private static final long HEARTBEAT_MILLIS = 2_000;

    private record Entry(String json, String health) {}

    final ServerSocket server = new ServerSocket(0, 200, Rig.loopback());
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final Set<Socket> watches = ConcurrentHashMap.newKeySet();
    private long seq = 40;

    Discovery() throws IOException {
        Rig.thread(this::accept);
        Rig.thread(this::beat);
    }

    int port() {
        return server.getLocalPort();
    }

    /** Sets a backend's entry and tells the watches. */
    synchronized void set(String id, String dial, String site, String health, long bornMillis) {
        seq++;
        entries.put(id, new Entry(entry(id, dial, site, health, bornMillis), health));
        String line =
                "{\"seq\":" + seq + ",\"whole\":false,\"hosts\":[" + entries.get(id).json + "]}";
        Rig.note("discovery: " + line);
        watches.forEach(watch -> send(watch, line));
    }

    static String entry(String id, String dial, String site, String health, long bornMillis) {
        return "{\"host\":\""
                + id
                + "\",\"dial\":\""
                + dial
                + "\",\"site\":\""
                + site
                + "\",\"class\":\"std\",\"block\":0,\"health\":\""
                + health
                + "\",\"share\":1.0,\"born_ms\":"
                + bornMillis
                + "}";
    }

    /** The whole list. */
    synchronized String whole() {
        return "{\"seq\":"
                + seq
                + ",\"whole\":true,\"hosts\":["
                + entries.values().stream()
                        .filter(entry -> !entry.health.equals("left"))
                        .map(entry -> entry.json)
                        .collect(Collectors.joining(","))
                + "]}";
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = server.accept();
                Rig.thread(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String start = Http.line(in);
            for (String line = start; line != null && !line.isEmpty(); ) {
                line = Http.line(in);
            }
            if (start == null) {
                socket.close();
                return;
            }
            Rig.note("discovery: asked " + start);
            synchronized (this) {
                if (start.contains("stream=1")) {
                    socket.getOutputStream()
                            .write(
                                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                            .getBytes(StandardCharsets.ISO_8859_1));
                    send(socket, whole());
                    watches.add(socket);
                } else {
                    byte[] list = whole().getBytes(StandardCharsets.ISO_8859_1);
                    String head = "HTTP/1.1 200 OK\r\nContent-Length: " + list.length + "\r\n\r\n";
                    socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
                    socket.getOutputStream().write(list);
                }
            }
        } catch (IOException e) {
            watches.remove(socket);
        }
    }

    private void send(Socket watch, String line) {
        try {
            String chunk = Integer.toHexString(line.length() + 1) + "\r\n" + line + "\n\r\n";
            synchronized (watch) {
                watch.getOutputStream().write(chunk.getBytes(StandardCharsets.ISO_8859_1));
            }
        } catch (IOException e) {
            watches.remove(watch);
        }
    }

    private void beat() {
        while (true) {
            Rig.sleep(HEARTBEAT_MILLIS);
            watches.forEach(watch -> send(watch, ""));
        }
    }
}
