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
import java.util.stream.Stream;

/**
 * Creates the archive of loaded classes (AppCDS) that makes later starts of the proxy quick.
 *
 * <p>It starts one proxy on the loopback address with a stub backend and a stub discovery server, sends it some
 * requests and management commands, and stops it; Java then writes the classes that were loaded. It ends by itself.
 *
 * <p>Usage: {@code java deploy/Rehearsal.java ARCHIVE}, from the repository's root, after the build.
 */
final class Rehearsal {
    private static final int REQUESTS = 60;

    /** Every third request has an unknown class, so that the classes for rejections are loaded too. */
    private static final int INVALID_REQUEST_PERIOD = 3;

    private static final int RESPONSE_TIMEOUT_MILLIS = 2_000;
    private static final int CONNECT_RETRY_MILLIS = 50;
    private static final int STOP_TIMEOUT_SECONDS = 20;

    private static final String ENDPOINT_LIST =
        "{\"seq\":1,\"whole\":true,\"hosts\":[{\"host\":\"b\",\"dial\":\"127.0.0.1:%d\",\"site\":\"z\",\"class\":\"k\","
            + "\"block\":0,\"health\":\"active\",\"share\":1.0,\"born_ms\":0}]}";

    private static final String SETTINGS =
        "{\"Categories\":[{\"Name\":\"c\",\"DueTime\":1000000,\"Expiry\":2000000}],"
            + "\"Projects\":[{\"Name\":\"t\",\"Share\":1.0,\"QuotaRps\":1000}],\"Zones\":[\"z\"],"
            + "\"Flavors\":[\"k\"],\"MembershipMode\":\"subscribe\",\"Limits\":{\"MaxHandOffs\":2,"
            + "\"ConnIdle\":60000000,\"ConnectTimeout\":200000},\"Obligations\":{\"AskWithin\":4000000}}";

    private Rehearsal() {
    }

    /** Runs the rehearsal; its argument is the archive's path. */
    public static void main(String[] args) throws Exception {
        Path archive = Path.of(args[0]);
        Path folder = Files.createTempDirectory("rehearsal");
        try (ServerSocket backend = listen(); ServerSocket discovery = listen();
             ServerSocket reserved = listen(); ServerSocket reservedForManagement = listen()) {
            String endpointList = String.format(ENDPOINT_LIST, backend.getLocalPort());
            startStub(backend, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            startStub(discovery, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                + Integer.toHexString(endpointList.length() + 1) + "\r\n" + endpointList + "\n\r\n");
            int port = reserved.getLocalPort();
            int managementPort = reservedForManagement.getLocalPort();
            reserved.close();
            reservedForManagement.close();
            Path configuration = folder.resolve("config.json");
            Files.writeString(configuration,
                configuration(port, managementPort, discovery.getLocalPort(), endpointList));
            rehearse(configuration, port, managementPort, archive);
        } finally {
            delete(folder);
        }
    }

    private static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    private static String configuration(int port, int managementPort, int discoveryPort, String endpointList) {
        return "{\"listen\":\"127.0.0.1:" + port + "\",\"mgmt\":\"127.0.0.1:" + managementPort
            + "\",\"discovery\":\"127.0.0.1:" + discoveryPort + "\",\"seed\":\"1\",\"known\":" + endpointList
            + ",\"settings\":" + SETTINGS + "}";
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }

    private static void rehearse(Path configuration, int port, int managementPort, Path archive) throws Exception {
        Files.deleteIfExists(archive);
        Process proxy = startProxy(configuration, archive);
        try {
            for (int number = 0; number < REQUESTS; number++) {
                sendRequest(port, number);
            }
            for (String command : List.of("HEALTH", "DUMP", "OFFLINE b", "ONLINE b")) {
                exchange(managementPort, command + "\n");
            }
            proxy.destroy();
            proxy.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } finally {
            proxy.destroyForcibly();
        }
    }

    private static Process startProxy(Path configuration, Path archive) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:+UseSerialGC",
            "-XX:ArchiveClassesAtExit=" + archive, "-jar", "target/cottonlock.jar", "serve");
        builder.environment().put("EDGE_CONFIG", configuration.toString());
        // The files that a proxy's processes share are written too, into the temporary folder.
        builder.environment().put("TMPDIR", configuration.getParent().toString());
        return builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
    }

    private static void sendRequest(int port, int number) throws InterruptedException {
        String requestClass = number % INVALID_REQUEST_PERIOD == 0 ? "unknown" : "c";
        try {
            exchange(port, "GET /" + requestClass + " HTTP/1.1\r\nHost: x\r\nX-Request-ID: " + number
                + "\r\nX-Tenant-Id: t\r\nX-Timeout-Ms: 1000\r\nConnection: close\r\n\r\n");
        } catch (IOException e) {
            // The proxy has not started yet.
            Thread.sleep(CONNECT_RETRY_MILLIS);
        }
    }

    private static void exchange(int port, String message) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            write(socket, message);
            socket.setSoTimeout(RESPONSE_TIMEOUT_MILLIS);
            socket.getInputStream().readAllBytes();
        }
    }

    /** Answers each empty line, the end of a request's head, with the response. */
    private static void startStub(ServerSocket server, String response) {
        startThread(() -> {
            while (true) {
                Socket socket = server.accept();
                startThread(() -> respond(socket, response));
            }
        });
    }

    private static void respond(Socket socket, String response) throws IOException {
        BufferedReader in = new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            if (line.isEmpty()) {
                write(socket, response);
            }
        }
    }

    /** Work of a stub's thread, until its socket is closed. */
    private interface SocketTask {
        void run() throws IOException;
    }

    private static void startThread(SocketTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // The socket was closed.
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
