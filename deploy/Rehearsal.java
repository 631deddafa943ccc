import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Rehearses a proxy once at the end of the build: it is started, serves a few work items of a stand-in of a
 * client with stand-ins of a backend and of discovery, and is stopped. Java writes down the classes that it
 * needed, and later starts load them at once. Everything stays on the loopback address and ends by itself.
 */
final class Rehearsal {
    private static final int WORK_ITEMS = 60;
    private static final String LIST = "{\"seq\":1,\"whole\":true,\"hosts\":[{\"host\":\"b\","
        + "\"dial\":\"127.0.0.1:%d\",\"site\":\"z\",\"class\":\"k\",\"block\":0,\"health\":\"active\","
        + "\"share\":1.0,\"born_ms\":0}]}";

    private Rehearsal() {
    }

    public static void main(String[] args) throws Exception {
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        try (ServerSocket backend = new ServerSocket(0, 50, loopback);
             ServerSocket discovery = new ServerSocket(0, 50, loopback);
             ServerSocket free = new ServerSocket(0, 50, loopback);
             ServerSocket other = new ServerSocket(0, 50, loopback)) {
            String list = String.format(LIST, backend.getLocalPort());
            int port = free.getLocalPort();
            free.close();
            int mgmt = other.getLocalPort();
            other.close();
            answer(backend, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            answer(discovery, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                + Integer.toHexString(list.length() + 1) + "\r\n" + list + "\n\r\n");
            Path folder = Files.createTempDirectory("rehearsal");
            Path config = folder.resolve("config.json");
            Files.writeString(config, "{\"listen\":\"127.0.0.1:" + port + "\",\"mgmt\":\"127.0.0.1:"
                + mgmt + "\",\"discovery\":\"127.0.0.1:"
                + discovery.getLocalPort() + "\",\"seed\":\"1\",\"known\":" + list + ",\"settings\":{"
                + "\"Categories\":[{\"Name\":\"c\",\"DueTime\":1000000,\"Expiry\":2000000}],"
                + "\"Projects\":[{\"Name\":\"t\",\"Share\":1.0,\"QuotaRps\":1000}],\"Zones\":[\"z\"],"
                + "\"Flavors\":[\"k\"],\"MembershipMode\":\"subscribe\",\"Limits\":{\"MaxHandOffs\":2,"
                + "\"ConnIdle\":60000000,\"ConnectTimeout\":200000},\"Obligations\":{\"AskWithin\":4000000}}}");
            try {
                rehearse(config, port, mgmt, Path.of(args[0]));
            } finally {
                try (var files = Files.list(folder)) {
                    for (Path file : files.toList()) {
                        Files.delete(file);
                    }
                }
                Files.delete(folder);
            }
        }
    }

    private static void rehearse(Path config, int port, int mgmt, Path archive) throws Exception {
        Files.deleteIfExists(archive);
        ProcessBuilder builder = new ProcessBuilder(List.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:+UseSerialGC",
            "-XX:ArchiveClassesAtExit=" + archive, "-jar", "target/cottonlock.jar", "serve"));
        builder.environment().put("EDGE_CONFIG", config.toString());
        // What the processes of a proxy share is rehearsed too, in a folder that ends with the rehearsal.
        builder.environment().put("TMPDIR", config.getParent().toString());
        Process proxy = builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .start();
        try {
            for (int i = 0; i < WORK_ITEMS; i++) {
                try (Socket socket = new Socket("127.0.0.1", port)) {
                    // Every third is refused, so that the way of bad requests is rehearsed too.
                    String name = i % 3 == 0 ? "unknown" : "c";
                    write(socket, "GET /" + name + " HTTP/1.1\r\nHost: x\r\nX-Request-ID: " + i
                        + "\r\nX-Tenant-Id: t\r\nX-Timeout-Ms: 1000\r\nConnection: close\r\n\r\n");
                    socket.setSoTimeout(2_000);
                    socket.getInputStream().readAllBytes();
                } catch (IOException e) {
                    // It has not started yet.
                    Thread.sleep(50);
                }
            }
            for (String call : List.of("HEALTH", "DUMP", "OFFLINE b", "ONLINE b")) {
                try (Socket socket = new Socket("127.0.0.1", mgmt)) {
                    write(socket, call + "\n");
                    socket.setSoTimeout(2_000);
                    socket.getInputStream().readAllBytes();
                }
            }
            proxy.destroy();
            proxy.waitFor(20, TimeUnit.SECONDS);
        } finally {
            proxy.destroyForcibly();
        }
    }

    private static void answer(ServerSocket server, String message) {
        start(() -> {
            while (true) {
                Socket socket = server.accept();
                start(() -> {
                    BufferedReader in = new BufferedReader(
                        new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
                    for (String line = in.readLine(); line != null; line = in.readLine()) {
                        if (line.isEmpty()) {
                            write(socket, message);
                        }
                    }
                });
            }
        });
    }

    /** What a stand-in does until its socket ends. */
    private interface Part {
        void play() throws IOException;
    }

    private static void start(Part part) {
        Thread thread = new Thread(() -> {
            try {
                part.play();
            } catch (IOException e) {
                // Its socket has ended.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private static void write(Socket socket, String message) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(message.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
