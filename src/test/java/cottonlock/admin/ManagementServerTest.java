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

/** Calls of operators that come in bursts. */
class ManagementServerTest {
    /** Milliseconds after which the system sends a connection request that was dropped again. */
    private static final int CONNECT_RETRY_MILLIS = 1_000;

    private static final int BURST_CALLERS = 200;

    private final ManagementServer server;
    private final List<Socket> callers = new ArrayList<>();

    ManagementServerTest() throws IOException {
        server =
                new ManagementServer(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        new ServingProxy());
    }

    /** Guards against a listen queue that is full after a dozen: the next waited for a second. */
    @Example
    void aBurstOfCallersIsQueuedWhileNoneIsAccepted() throws Exception {
        for (int i = 0; i < BURST_CALLERS; i++) {
            connect();
        }
        Socket last = connect();
        send(last, "HEALTH\n");
        Thread acceptor = accept();
        try {
            assertEquals("ACK\n", answer(last));
        } finally {
            close(acceptor);
        }
    }

    /** Guards against a caller who is closed for a newer one though its whole call has come. */
    @Example
    void eachCallThatHasComeWholeIsAnswered() throws Exception {
        for (int i = 0; i < BURST_CALLERS; i++) {
            send(connect(), "HEALTH\n");
        }
        Thread acceptor = accept();
        try {
            for (Socket caller : callers) {
                assertEquals("ACK\n", answer(caller));
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

    private static void send(Socket caller, String text) throws IOException {
        caller.getOutputStream().write(text.getBytes(UTF_8));
    }

    private static String answer(Socket caller) throws IOException {
        caller.setSoTimeout(CONNECT_RETRY_MILLIS);
        return new String(caller.getInputStream().readAllBytes(), UTF_8);
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket();
        callers.add(socket);
        socket.connect(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), server.port()),
                CONNECT_RETRY_MILLIS);
        return socket;
    }

    private void close(Thread acceptor) throws Exception {
        for (Socket caller : callers) {
            caller.close();
        }
        server.close();
        acceptor.join();
    }

    /** A proxy that serves. */
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
