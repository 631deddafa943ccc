package cottonlock.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;

/** Connections to all backends: which of them give way to others. */
class OpenBackendConnectionsTest extends ProxyFixture {
    private static final String FAILED = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n";
    private static final int BACKENDS = 12;

    private final BackendActors backends = new BackendActors(4_000);
    private final OpenBackendConnections open = backends.open;

    private BackendConnection connection() {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);
        BackendResources resources = backends.resources(0, 0);
        BackendActor actor = new BackendActor(address, resources);
        return new BackendConnection(actor, address, resources, null);
    }

    /** Guards against an attempt that is written to a connection that is being closed for room. */
    @Example
    void anIdleConnectionIsTakenByOneOnly() {
        BackendConnection used = connection();
        BackendConnection closed = connection();
        for (BackendConnection connection : List.of(used, closed)) {
            assertTrue(open.add(connection));
            open.addIdle(connection);
        }
        assertTrue(open.takeIdle(used));
        assertFalse(open.takeIdle(used));
        open.makeRoom(1);
        assertFalse(open.takeIdle(closed), "it was closed");
        open.makeRoom(2);
        open.addIdle(used);
        assertTrue(open.takeIdle(used), "it was not idle as others were closed");
    }

    @Example
    void theOneThatHasBeenIdleLongestIsClosedFirst() {
        List<BackendConnection> connections = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            connections.add(connection());
            open.addIdle(connections.get(i));
        }
        assertTrue(open.takeIdle(connections.get(0)));
        open.addIdle(connections.get(0));
        open.makeRoom(2);
        assertTrue(open.takeIdle(connections.get(0)), "it was used last");
        assertFalse(open.takeIdle(connections.get(1)));
        assertFalse(open.takeIdle(connections.get(2)));
    }

    /**
     * Guards against closing one more at each check while those that were closed have not ended.
     */
    @Example
    void noMoreAreClosedThanAreNeeded() {
        List<BackendConnection> connections = List.of(connection(), connection(), connection());
        connections.forEach(open::addIdle);
        open.makeRoom(1);
        open.makeRoom(1);
        assertFalse(open.takeIdle(connections.get(0)), "it was closed");
        assertTrue(open.takeIdle(connections.get(1)), "the first one is still ending");
        open.addIdle(connections.get(1));
        open.remove(connections.get(0));
        open.makeRoom(1);
        assertFalse(open.takeIdle(connections.get(2)), "it was closed after the first one's end");
    }

    /** Guards against attempts that each wait for a permit while idle connections keep all. */
    @Example
    void aFewPermitsAreKeptFreeWhereConnectionsAreIdle() {
        ConnectionPermits permits = new ConnectionPermits(64, open);
        BackendConnection idle = connection();
        open.addIdle(idle);
        for (int i = 0; i < 62; i++) {
            assertTrue(permits.tryAcquire());
        }
        assertTrue(open.takeIdle(idle), "it is kept while more than two permits are free");
        open.addIdle(idle);
        assertTrue(permits.tryAcquire());
        assertFalse(open.takeIdle(idle), "it was closed");
        assertTrue(permits.tryAcquire());
        assertFalse(permits.tryAcquire());
    }

    @Example
    void noneIsOpenedWhenAllHaveBeenClosed() {
        open.close();
        assertFalse(open.add(connection()));
    }

    /**
     * Guards against idle connections that keep a permit from an attempt at another backend, and
     * against closing one at every backend for each that is needed.
     */
    @Example
    void anAttemptAtAnotherBackendGetsThePermitOfTheOneThatHasBeenIdleLongest() throws Exception {
        BackendResources resources = backends.resources(0, BACKENDS - 1);
        backends.executor.release();
        List<StandIn> standIns = new ArrayList<>();
        for (int i = 0; i < BACKENDS; i++) {
            StandIn standIn = new StandIn(request -> FAILED);
            standIns.add(standIn);
            BackendActor actor = new BackendActor(BackendActors.address(standIn), resources);
            BackendActors.Sent sent = backends.attempt(actor, Long.MAX_VALUE);
            eventually(sent.attempt()::isSettled, "settled");
            assertEquals(1, standIn.requests.size(), "sent to backend " + i);
            assertTrue(sent.request().claim());
        }
        eventually(() -> isClosed(standIns.get(0)), "the first one's connection is closed");
        for (StandIn other : standIns.subList(1, BACKENDS)) {
            assertFalse(isClosed(other), "the others' connections stay");
        }
        open.close();
        eventually(() -> backends.buffers.available() == 16, "all buffers are back");
    }

    /** Whether a stand-in has noticed the end of its only connection, and has closed it too. */
    private static boolean isClosed(StandIn standIn) {
        return standIn.sockets.get(0).isClosed();
    }
}
