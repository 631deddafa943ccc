package cottonlock.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cottonlock.proxy.io.Sockets;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import net.jqwik.api.Example;

/** Repeats of keyed requests with long bodies, which backends may be slow to read. */
class RepeatWithinWindowTest extends ProxyFixture {
    private static final int BODY_BYTES = 500_000;
    private static final int READ_PARTS = 20;
    private static final long WINDOW_MILLIS = 1_500;

    /** What the protocol allows a message to be late. */
    private static final long SLACK_MILLIS = 150;

    private static final long NEVER = -1;

    /** When the last byte of each request with a body was read, in milliseconds. */
    private final List<Long> executedAtMillis = new CopyOnWriteArrayList<>();

    /** How long the reading of a body takes after the first one was executed. */
    private volatile long readMillis;

    /** A backend that resets the connection of the first request with a body that it has run. */
    private final class SlowBackend implements AutoCloseable {
        private final ServerSocket server =
                new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

        SlowBackend() throws IOException {
            open.add(this);
            Sockets.start("backend", this::acceptAll);
        }

        private void acceptAll() {
            try {
                while (true) {
                    Socket socket = server.accept();
                    open.add(socket);
                    Sockets.start("backend connection", () -> serve(socket));
                }
            } catch (IOException e) {
                // The test is over.
            }
        }

        private void serve(Socket socket) {
            try {
                InputStream in = socket.getInputStream();
                for (String head = readHead(in); !head.isEmpty(); head = readHead(in)) {
                    int length =
                            Integer.parseInt(
                                    field(List.of(head.split("\r\n")), "Content-Length", "0"));
                    if (length > 0 && execute(in, length)) {
                        socket.setSoLinger(true, 0);
                        socket.close();
                        return;
                    }
                    socket.getOutputStream().write(OK.getBytes(StandardCharsets.ISO_8859_1));
                }
            } catch (IOException | InterruptedException e) {
                // Its connection has ended.
            }
        }

        /** Reads a body; true if it is the first one. */
        private boolean execute(InputStream in, int length)
                throws IOException, InterruptedException {
            boolean first = executedAtMillis.isEmpty();
            if (!first && readMillis == NEVER) {
                Thread.sleep(60_000);
            }
            for (int part = 0; part < READ_PARTS; part++) {
                Thread.sleep(first ? 0 : readMillis / READ_PARTS);
                in.skipNBytes(length / READ_PARTS);
            }
            executedAtMillis.add(System.nanoTime() / 1_000_000);
            return first;
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int octet = in.read();
            if (octet < 0) {
                return "";
            }
            head.append((char) octet);
        }
        return head.toString();
    }

    /** The status of a request whose first attempt is executed and then reset. */
    private int callAndRepeat(long readMillisOfRepeat) throws Exception {
        readMillis = readMillisOfRepeat;
        String[] hosts = new String[3];
        for (int i = 0; i < hosts.length; i++) {
            hosts[i] = listEntry("b" + i, new SlowBackend().server.getLocalPort());
        }
        proxy =
                new Proxy(
                        config(
                                settings(256, 1, "", hosts)
                                        .replace("1500000", "4000000")
                                        .replace("800000", "3500000")
                                        .replace(
                                                "\"RepeatWindow\":5000000",
                                                "\"RepeatWindow\":" + WINDOW_MILLIS * 1_000)));
        buffersAtFirst = (64 << 20) / 8 / 8_192;
        // Retries need a budget, which attempts add to.
        for (int i = 0; i < 30; i++) {
            assertEquals(200, status(call(request("read", "usual" + i, "", ""))));
        }
        String body = "x".repeat(BODY_BYTES);
        return status(call(request("book", "long", "X-Timeout-Ms: 3900\r\n", body)));
    }

    private void assertExecutedWithinWindow() {
        long first = executedAtMillis.get(0);
        for (long executed : executedAtMillis) {
            assertTrue(
                    executed - first <= WINDOW_MILLIS + SLACK_MILLIS,
                    "executed again after " + (executed - first) + " ms");
        }
    }

    /**
     * Guards against a repeat that its backend had read only after the key was forgotten, as the
     * systems' buffers had taken it in within the window: the request was executed twice.
     */
    @Example
    void aRepeatThatIsReadTooSlowlyIsGivenUp() throws Exception {
        long begun = System.nanoTime();
        assertEquals(502, callAndRepeat(2_400));
        long answeredMillis = (System.nanoTime() - begun) / 1_000_000;
        assertTrue(answeredMillis < 3_000, "answered after " + answeredMillis + " ms");
        Thread.sleep(2_000);
        assertExecutedWithinWindow();
        assertEquals(1, executedAtMillis.size());
    }

    /** Guards against giving up what is read in time, slowly or not. */
    @Example
    void aRepeatThatIsReadInTimeIsServed() throws Exception {
        assertEquals(200, callAndRepeat(600));
        assertExecutedWithinWindow();
        assertEquals(2, executedAtMillis.size());
    }

    /** The same for a backend that reads at once. */
    @Example
    void aRepeatThatIsReadAtOnceIsServed() throws Exception {
        assertEquals(200, callAndRepeat(0));
        assertExecutedWithinWindow();
        assertEquals(2, executedAtMillis.size());
    }

    /** Guards against an answer at the client's deadline, long after nothing could be sent. */
    @Example
    void aRepeatThatIsNotReadAtAllIsAnsweredWhenItsWindowEnds() throws Exception {
        long begun = System.nanoTime();
        assertEquals(502, callAndRepeat(NEVER));
        long answeredMillis = (System.nanoTime() - begun) / 1_000_000;
        assertTrue(answeredMillis < 3_000, "answered after " + answeredMillis + " ms");
        assertEquals(1, executedAtMillis.size());
    }
}
