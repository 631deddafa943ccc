package cottonlock.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;

/** Requests with the id of one that may still be executed. */
class OpenRequestIdsTest extends ProxyFixture {
    private static final String LONG_TIMEOUT = "X-Timeout-Ms: 1400\r\n";

    /**
     * Guards against an id that ran twice: its client left while the backend was working on it, and
     * the id was taken again while the first attempt was still out.
     */
    @Example
    void anIdStaysOpenWhileAnAttemptOfAClientThatLeftIsOut() throws Exception {
        CountDownLatch proceed = new CountDownLatch(1);
        StandIn backend =
                new StandIn(
                        request -> {
                            proceed.await(8, TimeUnit.SECONDS);
                            return OK;
                        });
        StandIn other = new StandIn(request -> OK);
        start(backend, other);
        String request = request("once", "same", LONG_TIMEOUT, "body");
        while (backend.requests.isEmpty()) {
            int before = other.requests.size();
            Socket first = connect();
            send(first, request);
            eventually(
                    () -> !backend.requests.isEmpty() || other.requests.size() > before, "it runs");
            if (!backend.requests.isEmpty()) {
                first.close();
                eventually(() -> proxy.listener().clients().isEmpty(), "its disconnect is noticed");
            } else {
                assertEquals(200, status(receive(first)));
                first.close();
                eventually(() -> proxy.listener().clients().isEmpty(), "the connection has ended");
            }
        }
        int ranElsewhere = other.requests.size();
        assertEquals(409, status(call(request)), "while the attempt is out");
        assertEquals(ranElsewhere, other.requests.size());
        assertEquals(1, backend.requests.size());
        proceed.countDown();
        eventually(() -> status(call(request)) == 200, "the id is free when it has ended");
    }
}
