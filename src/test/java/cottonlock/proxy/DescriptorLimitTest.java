package cottonlock.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.File;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import net.jqwik.api.Example;

/**
 * Guards against idle clients that hold all descriptors where the system allows fewer than {@code
 * limits.sockets}: no connection was evicted, and clients that sent requests were not accepted.
 */
class DescriptorLimitTest extends ProxyFixture {
    private static final int CONFIGURED_SOCKETS = 1_024;
    private static final int ALLOWED_DESCRIPTORS = 90;
    private static final int IDLE_CLIENTS = 100;

    @Example
    void idleClientsAreEvictedAtTheSystemsDescriptorLimit() throws Exception {
        StandIn backend = new StandIn(request -> OK);
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        Path configuration =
                config(
                        settings(CONFIGURED_SOCKETS, 1, "", backend.host("b0"))
                                .replace("127.0.0.1:0", "127.0.0.1:" + port));
        File output = Files.createTempFile("descriptors", ".log").toFile();
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        ProcessBuilder builder =
                new ProcessBuilder(
                        "sh",
                        "-c",
                        "ulimit -n "
                                + ALLOWED_DESCRIPTORS
                                + " && exec "
                                + java
                                + " -Xss192k -cp target/classes cottonlock.Main serve");
        builder.environment().put("EDGE_CONFIG", configuration.toString());
        builder.environment().remove("COTTONLOCK_OPERATOR");
        Process process = builder.redirectErrorStream(true).redirectOutput(output).start();
        open.add(process::destroyForcibly);
        eventually(() -> accepts(port), "it serves");
        for (int i = 0; i < IDLE_CLIENTS; i++) {
            Socket idle = new Socket(InetAddress.getLoopbackAddress(), port);
            open.add(idle);
            send(idle, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n");
        }
        for (int i = 0; i < 5; i++) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                socket.setSoTimeout(1_200);
                send(socket, request("read", "work" + i, "", ""));
                assertEquals(200, status(receive(socket)), Files.readString(output.toPath()));
            }
        }
        assertTrue(process.isAlive());
        assertTrue(
                Files.readString(output.toPath()).contains("limits.sockets is 1024"),
                Files.readString(output.toPath()));
    }

    private static boolean accepts(int port) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            return socket.isConnected();
        } catch (java.io.IOException e) {
            return false;
        }
    }
}
