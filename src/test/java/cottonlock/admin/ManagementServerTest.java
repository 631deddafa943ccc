package cottonlock.admin;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;

/** Bursts of management connections. */
class ManagementServerTest {
    /** Time after which the operating system repeats a connection request that was dropped. */
    private static final int CONNECT_RETRY_MILLIS = 1_000;

    private static final int BURST_CONNECTIONS = 200;

    private final ManagementServer server;
    private final List<Socket> clients = new ArrayList<>();

    ManagementServerTest() throws IOException {
        server =
                new ManagementServer(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        new ServingProxy());
    }

    /**
     * Guards against a backlog of only a dozen connections: the connection request after it was
     * dropped and repeated after a second.
     */
    @Example
    void burstOfConnectionsIsQueuedWhileNoneIsAccepted() throws Exception {
        for (int i = 0; i < BURST_CONNECTIONS; i++) {
            connect();
        }
        Socket last = connect();
        send(last, "HEALTH\n");
        Thread acceptor = accept();
        try {
            assertEquals("ACK\n", response(last));
        } finally {
            close(acceptor);
        }
    }

    /** Guards against a connection that is evicted although its complete command has arrived. */
    @Example
    void eachCompleteCommandIsAnswered() throws Exception {
        for (int i = 0; i < BURST_CONNECTIONS; i++) {
            send(connect(), "HEALTH\n");
        }
        Thread acceptor = accept();
        try {
            for (Socket client : clients) {
                assertEquals("ACK\n", response(client));
            }
        } finally {
            close(acceptor);
        }
    }

    private Thread accept() {
        Thread acceptor = new Thread(server, "acceptor");
        acceptor.start();
        return acceptor;
    }

    private static void send(Socket client, String text) throws IOException {
        client.getOutputStream().write(text.getBytes(UTF_8));
    }

    private static String response(Socket client) throws IOException {
        client.setSoTimeout(CONNECT_RETRY_MILLIS);
        return new String(client.getInputStream().readAllBytes(), UTF_8);
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        clients.add(socket);
        socket.connect(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), server.port()),
                CONNECT_RETRY_MILLIS);
        return socket;
    }

    private void close(Thread acceptor) throws Exception {
        for (Socket client : clients) {
            client.close();
        }
        server.close();
        acceptor.join();
    }

    /** The operations of a proxy that is serving. */
    private static final class ServingProxy implements ManagementOperations {
        @Override
        public boolean isServing() {
            return true;
        }

        @Override
        public String metricsJson() {
            return "{}";
        }

        @Override
        public String membersReport() {
            return null;
        }

        @Override
        public String ejectBackend(String backendId) {
            return null;
        }

        @Override
        public String restoreBackend(String backendId) {
            return null;
        }
    }
}
