package cottonlock.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cottonlock.proxy.io.Sockets;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import net.jqwik.api.Example;

/** Long answers that backends write slowly, or that clients read slowly. */
class LongAnswersTest extends ProxyFixture {
    private static final String LONG_TIMEOUT = "X-Timeout-Ms: 1400\r\n";
    private static final int PART_BYTES = 2_000;
    private static final int PARTS = 40;
    private static final long PART_MILLIS = 100;

    /** So many that some backends write two of them. */
    private static final int LONG_ANSWERS = 8;

    private static final int SLOWLY_READ_BYTES = 12 << 20;
    private static final int READ_BYTES = 32 << 10;
    private static final long READ_MILLIS = 500;
    private static final long SLOW_MILLIS = 12_000;

    /** A backend that writes an answer of unknown length for four seconds. */
    private StandIn slowBackend(boolean lineEndWithNextChunk) throws IOException {
        StandIn backend = new StandIn(request -> CLOSE);
        backend.responder =
                request -> {
                    Socket socket = backend.sockets.get(backend.sockets.size() - 1);
                    send(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    String size = Integer.toHexString(PART_BYTES) + "\r\n";
                    String data = "x".repeat(PART_BYTES);
                    for (int part = 0; part < PARTS; part++) {
                        boolean lineEndBefore = lineEndWithNextChunk && part > 0;
                        send(socket, (lineEndBefore ? "\r\n" : "") + size + data);
                        send(socket, lineEndWithNextChunk ? "" : "\r\n");
                        Thread.sleep(PART_MILLIS);
                    }
                    return (lineEndWithNextChunk ? "\r\n" : "") + "0\r\n\r\n";
                };
        return backend;
    }

    /**
     * Guards against an answer in chunks that was held back until its request's deadline and then
     * cut off, while its backend was still writing.
     */
    @Example
    void aLongAnswerInChunksThatIsWrittenSlowlyIsRelayed() throws Exception {
        for (boolean lineEndWithNextChunk : new boolean[] {false, true}) {
            start(slowBackend(lineEndWithNextChunk));
            Socket socket = connect();
            long begun = System.nanoTime();
            send(socket, request("read", "slow", LONG_TIMEOUT, ""));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            assertEquals('H', in.read());
            long waitedMillis = (System.nanoTime() - begun) / 1_000_000;
            assertTrue(waitedMillis < 1_400, "its beginning came after " + waitedMillis + " ms");
            assertTrue(nextLine(in).startsWith("TTP/1.1 200"), "it is relayed");
            while (!nextLine(in).isEmpty()) {
                // The fields.
            }
            int length = 0;
            for (int chunk = chunkSize(in); chunk > 0; chunk = chunkSize(in)) {
                length += chunk;
                in.skipNBytes(chunk + 2L);
            }
            assertEquals(PARTS * PART_BYTES, length);
            closesCleanly();
        }
    }

    /** A backend that answers usual requests at once and long ones in chunks for four seconds. */
    private final class SlowWriter extends RawBackend {
        SlowWriter() throws IOException {}

        @Override
        void serve(Socket socket) throws IOException, InterruptedException {
            InputStream in = socket.getInputStream();
            for (String head = readHead(in); !head.isEmpty(); head = readHead(in)) {
                if (!head.contains("X-Request-ID: long")) {
                    send(socket, OK);
                    continue;
                }
                send(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                for (int part = 0; part < PARTS; part++) {
                    send(
                            socket,
                            Integer.toHexString(PART_BYTES)
                                    + "\r\n"
                                    + "x".repeat(PART_BYTES)
                                    + "\r\n");
                    Thread.sleep(PART_MILLIS);
                }
                send(socket, "0\r\n\r\n");
            }
        }
    }

    /**
     * Guards against an answer that was held back until its request's deadline because each chunk
     * came with its line end, so that there were always bytes to go on with.
     */
    @Example
    void aLongAnswerWhoseChunksComeWithTheirLineEndsIsRelayed() throws Exception {
        start(256, 1, "", new SlowWriter().host("b"));
        assertEquals(200, statusOf("long"));
    }

    /**
     * Guards against backends that passed for silent while the beginnings of their long answers
     * were held back: of several at once most were cancelled, and their requests rejected.
     */
    @Example
    void backendsThatWriteLongAnswersAreNotTakenForSilent() throws Exception {
        String[] hosts = new String[6];
        for (int i = 0; i < hosts.length; i++) {
            hosts[i] = new SlowWriter().host("b" + i);
        }
        start(256, 1, "", hosts);
        for (int i = 0; i < 200; i++) {
            assertEquals(200, status(call(request("read", "usual" + i, LONG_TIMEOUT, ""))));
        }
        List<Integer> statuses = new CopyOnWriteArrayList<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < LONG_ANSWERS; i++) {
            String id = "long" + i;
            clients.add(Sockets.start("client", () -> statuses.add(statusOf(id))));
        }
        for (Thread client : clients) {
            client.join();
        }
        assertEquals(Collections.nCopies(LONG_ANSWERS, 200), statuses);
    }

    private int statusOf(String id) {
        try (Socket socket = connect()) {
            send(socket, request("read", id, LONG_TIMEOUT + "Connection: close\r\n", ""));
            String response =
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            boolean whole = response.endsWith("\r\n0\r\n\r\n");
            return response.startsWith("HTTP/1.1 200") && !whole ? 0 : status(response);
        } catch (IOException e) {
            return 0;
        }
    }

    /** Guards against a short answer in chunks that can't be given by another backend any more. */
    @Example
    void aShortAnswerInChunksThatBreaksOffSoonIsGivenByAnotherBackend() throws Exception {
        String half = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n";
        StandIn broken = new StandIn(request -> OK);
        StandIn whole = new StandIn(request -> OK);
        start(broken, whole);
        // Retries need a budget, which attempts add to.
        for (int i = 0; i < 30; i++) {
            assertEquals(200, status(call(request("read", "usual" + i, LONG_TIMEOUT, ""))));
        }
        int before = broken.requests.size();
        broken.responder = request -> half + THEN_CLOSE;
        for (int i = 0; i < 6; i++) {
            assertEquals(200, status(call(request("read", "later" + i, LONG_TIMEOUT, ""))));
        }
        assertTrue(broken.requests.size() > before, "it was tried");
    }

    private static int chunkSize(InputStream in) throws IOException {
        return Integer.parseInt(nextLine(in), 16);
    }

    private static String nextLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int octet = in.read(); octet != '\n'; octet = in.read()) {
            assertTrue(octet >= 0, "the answer is cut off");
            line.append((char) octet);
        }
        return line.toString().trim();
    }

    /**
     * Guards against a client that reads a long answer steadily, 64 KiB a second, and was cut off
     * as if it had stopped.
     */
    @Example
    void aClientThatReadsALongAnswerSteadilyIsNotCutOff() throws Exception {
        StandIn backend =
                new StandIn(
                        request ->
                                "HTTP/1.1 200 OK\r\nContent-Length: "
                                        + SLOWLY_READ_BYTES
                                        + "\r\n\r\n"
                                        + "x".repeat(SLOWLY_READ_BYTES));
        start(backend);
        Socket socket = connect();
        send(socket, request("read", "steady", LONG_TIMEOUT, ""));
        InputStream in = socket.getInputStream();
        long begun = System.nanoTime();
        long read = 0;
        while ((System.nanoTime() - begun) / 1_000_000 < SLOW_MILLIS) {
            read += in.readNBytes(READ_BYTES).length;
            Thread.sleep(READ_MILLIS);
        }
        read += in.readNBytes(SLOWLY_READ_BYTES).length;
        // The client keeps the connection, so only the length tells the end.
        assertTrue(read > SLOWLY_READ_BYTES, "cut off after " + read + " bytes");
    }
}
