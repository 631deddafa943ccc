package cottonlock.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Example;

/** How connections of clients and to backends share the memory for both. */
class ConnectionPermitsTest {
    private static final int TOGETHER = 40;
    private static final int SOCKETS = 30;

    private final AtomicInteger clients = new AtomicInteger();
    private final ConnectionPermits permits =
            new ConnectionPermits(
                    SOCKETS, () -> TOGETHER, clients::get, new OpenBackendConnections());

    private int takeAll() {
        int taken = 0;
        while (permits.tryAcquire()) {
            taken++;
        }
        return taken;
    }

    /** Guards against connections to backends beyond the memory that clients leave. */
    @Example
    void backendsGetWhatClientsLeave() {
        clients.set(25);
        assertEquals(15, takeAll());
        assertEquals(25, permits.maxClients());
    }

    @Example
    void backendsGetNoMoreThanTheirSockets() {
        assertEquals(SOCKETS, takeAll());
        assertEquals(TOGETHER - SOCKETS, permits.maxClients());
    }

    /** Guards against clients that take all room, so that none of them can be served. */
    @Example
    void aPartIsLeftForBackendsHoweverManyClientsThereAre() {
        clients.set(TOGETHER);
        assertEquals(10, takeAll());
    }

    @Example
    void aPermitThatIsReleasedCanBeTakenAgain() {
        clients.set(25);
        takeAll();
        permits.release();
        assertEquals(1, takeAll());
    }
}
