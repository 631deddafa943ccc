package cottonlock.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cottonlock.proxy.io.Sockets;
import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import net.jqwik.api.Example;

/** Requests that arrive before the one ahead of them on their connection has been answered. */
class PipelinedRequestsTest extends ProxyFixture {
    private static final int LONGER_THAN_A_BUFFER = 12_000;
    private static final String LONG_TIMEOUT = "X-Timeout-Ms: 1500\r\n";

    private final CountDownLatch proceed = new CountDownLatch(1);

    private static String longRequest(String id) {
        return request("book", id, LONG_TIMEOUT, "x".repeat(LONGER_THAN_A_BUFFER));
    }

    private Socket connectionWithRequestUnderWay(StandIn backend) throws Exception {
        start(backend);
        Socket socket = connect();
        send(socket, request("read", "first", LONG_TIMEOUT, ""));
        eventually(() -> backend.requests.size() == 1, "the first one is under way");
        return socket;
    }

    /**
     * Guards against a long request that was read and dropped, because its first bytes came while
     * the response ahead of it was being written: its connection ended without an answer.
     */
    @Example
    void aLongRequestBehindAnotherIsServed() throws Exception {
        StandIn backend = backendThatWaits(proceed);
        Socket socket = connectionWithRequestUnderWay(backend);
        send(socket, longRequest("second"));
        Thread.sleep(100);
        proceed.countDown();
        assertEquals(200, status(receive(socket)));
        assertEquals(200, status(receive(socket)));
        assertEquals(2, backend.requests.size());
        List<String> second = backend.requests.get(1);
        assertEquals(LONGER_THAN_A_BUFFER, second.get(second.size() - 1).length());
    }

    /** Guards against requests sent at once that were dropped beyond the first buffer. */
    @Example
    void eachOfManyRequestsSentAtOnceIsAnsweredInOrder() throws Exception {
        StandIn backend =
                new StandIn(
                        request -> {
                            String id = field(request, "X-Request-ID", "");
                            return "HTTP/1.1 200 OK\r\nContent-Length: "
                                    + id.length()
                                    + "\r\n\r\n"
                                    + id;
                        });
        start(backend);
        Socket socket = connect();
        int count = 120;
        StringBuilder requests = new StringBuilder();
        for (int i = 0; i < count; i++) {
            requests.append(request("read", "many" + i, LONG_TIMEOUT, ""));
        }
        send(socket, requests.toString());
        for (int i = 0; i < count; i++) {
            String answer = receive(socket);
            assertTrue(answer.endsWith("\r\n\r\nmany" + i), answer);
        }
    }

    /**
     * Guards against requests that were dropped because more was sent behind them than is held:
     * each has its answer, be it a refusal, and nothing is left behind.
     */
    @Example
    void requestsBeyondWhatIsHeldAreAnsweredToo() throws Exception {
        StandIn backend = new StandIn(request -> OK);
        start(backend);
        Socket socket = connect();
        int count = 60;
        Thread sender =
                Sockets.start(
                        "client",
                        () -> {
                            try {
                                for (int i = 0; i < count; i++) {
                                    send(socket, longRequest("beyond" + i));
                                }
                            } catch (IOException e) {
                                // Noticed by the reader.
                            }
                        });
        for (int i = 0; i < count; i++) {
            int status = status(receive(socket));
            assertTrue(status == 200 || status == 503, "answer " + i + ": " + status);
        }
        sender.join(4_000);
    }

    /** Guards against requests sent on although their client had left behind them. */
    @Example
    void nothingIsSentForAClientThatLeftBehindManyRequests() throws Exception {
        StandIn backend = backendThatWaits(proceed);
        Socket socket = connectionWithRequestUnderWay(backend);
        for (int i = 0; i < 10; i++) {
            send(socket, longRequest("gone" + i));
        }
        socket.close();
        eventually(() -> proxy.listener().clients().isEmpty(), "its disconnect is noticed");
        proceed.countDown();
        Thread.sleep(200);
        assertEquals(1, backend.requests.size());
    }

    /** Guards against more time than a request's client has, told to its backend. */
    @Example
    void theTimeThatARequestWaitedBehindAnotherIsSubtracted() throws Exception {
        StandIn backend = backendThatWaits(proceed);
        Socket socket = connectionWithRequestUnderWay(backend);
        send(socket, longRequest("second"));
        Thread.sleep(300);
        // Bytes of a third request, which arrive later, tell nothing of the second one.
        send(socket, "GET /read?sid=7 HTTP/1.1\r\n");
        Thread.sleep(100);
        proceed.countDown();
        assertEquals(200, status(receive(socket)));
        assertEquals(200, status(receive(socket)));
        int told = Integer.parseInt(field(backend.requests.get(1), "X-Timeout-Ms", "0"));
        assertTrue(told <= 1_500 - 400 + 50, "told: " + told);
    }
}
