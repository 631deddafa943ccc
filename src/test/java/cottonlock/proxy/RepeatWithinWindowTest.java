package cottonlock.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
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
    private final class SlowBackend extends RawBackend {
        SlowBackend() throws IOException {}

        @Override
        void serve(Socket socket) throws IOException, InterruptedException {
            InputStream in = socket.getInputStream();
            for (String head = readHead(in); !head.isEmpty(); head = readHead(in)) {
                int length =
                        Integer.parseInt(field(List.of(head.split("\r\n")), "Content-Length", "0"));
                if (length > 0 && execute(in, length)) {
                    socket.setSoLinger(true, 0);
                    socket.close();
                    return;
                }
                socket.getOutputStream().write(OK.getBytes(StandardCharsets.ISO_8859_1));
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
    }

    /** The status of a request whose first attempt is executed and then reset. */
    private int callAndRepeat(long readMillisOfRepeat) throws Exception {
        readMillis = readMillisOfRepeat;
        String[] hosts = new String[3];
        for (int i = 0; i < hosts.length; i++) {
            hosts[i] = new SlowBackend().host("b" + i);
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
