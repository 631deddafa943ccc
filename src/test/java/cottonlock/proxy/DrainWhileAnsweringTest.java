package cottonlock.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cottonlock.proxy.io.Sockets;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import net.jqwik.api.Example;

/**
 * Guards against a drain that closes a connection after a response which did not announce that: the
 * request that its client had begun to send was dropped.
 */
class DrainWhileAnsweringTest extends ProxyFixture {
    /** More than the sockets' buffers hold, so that the response waits for its reader. */
    private static final int LONG_BODY_BYTES = 16 << 20;

    private static final int CLIENT_BUFFER_BYTES = 8 << 10;

    @Example
    void aRequestBegunAfterAResponseThatKeepsTheConnectionIsServed() throws Exception {
        String longAnswer =
                "HTTP/1.1 200 OK\r\nContent-Length: "
                        + LONG_BODY_BYTES
                        + "\r\n\r\n"
                        + "x".repeat(LONG_BODY_BYTES);
        StandIn backend =
                new StandIn(
                        request ->
                                field(request, "X-Request-ID", "").equals("first")
                                        ? longAnswer
                                        : OK);
        start(backend);
        Socket socket = new Socket();
        open.add(socket);
        socket.setReceiveBufferSize(CLIENT_BUFFER_BYTES);
        socket.setSoTimeout(8_000);
        socket.connect(new InetSocketAddress("127.0.0.1", proxy.port()));
        InputStream answers = new BufferedInputStream(socket.getInputStream());
        String second = request("once", "second", "", "body");
        send(socket, request("read", "first", "", "") + second.substring(0, 20));
        eventually(() -> socket.getInputStream().available() > 0, "the answer has begun");
        proxy.listener().drain();
        Thread drain = Sockets.start("drain", this::closeIdleUntilEmpty);
        String first = head(answers);
        assertEquals(200, status(first));
        assertTrue(!first.contains("Connection: close"), first);
        answers.skipNBytes(LONG_BODY_BYTES);
        Thread.sleep(50);
        send(socket, second.substring(20));
        String answer = head(answers);
        assertEquals(200, status(answer));
        assertTrue(answer.contains("Connection: close"), answer);
        drain.join(8_000);
        assertTrue(proxy.listener().isEmpty(), "no connection is left");
    }

    private void closeIdleUntilEmpty() {
        try {
            while (!proxy.listener().isEmpty()) {
                proxy.listener().closeIdle();
                Thread.sleep(5);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Reads the head of the next response, up to the empty line; what there is of it if the stream
     * ends.
     */
    private static String head(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        String text = "";
        while (!text.endsWith("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                return text;
            }
            bytes.write(next);
            text = bytes.toString(StandardCharsets.ISO_8859_1);
        }
        return text;
    }
}
