package cottonlock.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import cottonlock.proxy.io.RateLimitedLog;
import cottonlock.proxy.io.Sockets;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import net.jqwik.api.Example;

/** New connections while as many clients are connected as there is room for. */
class FullListenerTest extends ProxyFixture {
    /** So few that a dozen clients can be connected. */
    private static final int SOCKETS = 45;

    private static final int NEW_CONNECTIONS = 20;

    /** More than can be connected. */
    private static final int PARTIAL_REQUESTS = 15;

    /** More than twice and less than three times as many as there is memory for. */
    private static final int MANY_PARTIAL_REQUESTS = 270;

    private static final int MANY_SOCKETS = 1_024;

    /** How long after the first part of a partial request its second part is sent. */
    private static final long SECOND_PART_DELAY_MILLIS = 60;

    /** A connection waits for so long at least, as others may end meanwhile. */
    private static final long MIN_WAIT_MILLIS = 200;

    /** How long after its connection a first request is sent. */
    private static final long FIRST_REQUEST_DELAY_MILLIS = 10;

    /** A connection that finds no room is closed after 350 ms; the rest is for a busy machine. */
    private static final long MAX_WAIT_MILLIS = 1_500;

    /**
     * Guards against a queue in which each connection waited for the one before it, 250 ms each:
     * with twenty of them, a client learned only after five seconds that it was not served.
     */
    @Example
    void connectionsThatFindNoRoomAreClosedSoonHoweverManyThereAre() throws Exception {
        List<Long> waits = waitsWithoutRoom();
        assertTrue(
                waits.get(waits.size() - 1) <= MAX_WAIT_MILLIS,
                () -> "closed after these milliseconds: " + waits);
    }

    /**
     * Guards against closing the first connections of a process at once: the queue behind them was
     * taken to be full since long before the start.
     */
    @Example
    void connectionsThatFindNoRoomRightAfterTheStartWaitForIt() throws Exception {
        List<Long> waits = waitsWithoutRoom();
        assertTrue(
                waits.get(0) >= MIN_WAIT_MILLIS, () -> "closed after these milliseconds: " + waits);
    }

    /**
     * Connects to a listener that has no room, before it begins to accept.
     *
     * @return the milliseconds after which it closed the connections, the shortest first
     */
    private static List<Long> waitsWithoutRoom() throws Exception {
        WorkerThreads workers = new WorkerThreads(new RateLimitedLog(System.getLogger("test")));
        ClientListener listener =
                new ClientListener(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                        false,
                        SOCKETS,
                        () -> 0,
                        (socket, from) -> {
                            throw new IllegalStateException("there is no room for it");
                        },
                        workers,
                        new RateLimitedLog(System.getLogger("test")));
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < NEW_CONNECTIONS; i++) {
            sockets.add(new Socket(InetAddress.getLoopbackAddress(), listener.port()));
        }
        Thread thread = Sockets.start("listener", listener);
        List<Long> waits = Collections.synchronizedList(new ArrayList<>());
        List<Thread> clients = new ArrayList<>();
        for (Socket socket : sockets) {
            clients.add(Sockets.start("client", () -> waits.add(millisUntilClosed(socket))));
        }
        for (Thread client : clients) {
            client.join();
        }
        listener.close();
        thread.join(4_000);
        workers.close();
        assertEquals(NEW_CONNECTIONS, waits.size());
        Collections.sort(waits);
        return waits;
    }

    private static long millisUntilClosed(Socket socket) {
        long begun = System.nanoTime();
        try (socket) {
            socket.getInputStream().readAllBytes();
        } catch (IOException e) {
            // A close also ends the connection if it resets it.
        }
        return (System.nanoTime() - begun) / 1_000_000;
    }

    /** Guards against closing connections for which there is room once idle ones have ended. */
    @Example
    void connectionsForWhichIdleOnesGiveWayAreServed() throws Exception {
        StandIn backend = new StandIn(request -> OK);
        start(SOCKETS, 1, "", backend.host("b"));
        List<Socket> idle = new ArrayList<>();
        for (int i = 0; i < SOCKETS; i++) {
            idle.add(connect());
        }
        for (int i = 0; i < SOCKETS; i++) {
            Socket socket = connect();
            idle.add(socket);
            socket.getOutputStream()
                    .write(request("read", "r" + i, "", "").getBytes(StandardCharsets.US_ASCII));
            assertEquals(200, status(receive(socket)), "request " + i);
        }
    }

    /**
     * Guards against closing all connections that wait at the moment at which partial requests may
     * be evicted: both counted 250 ms, and the wait began first.
     */
    @Example
    void connectionsForWhichPartialRequestsGiveWayAreServed() throws Exception {
        StandIn backend = new StandIn(request -> OK);
        start(SOCKETS, 1, "", backend.host("b"));
        List<Socket> partial = new ArrayList<>();
        for (int i = 0; i < PARTIAL_REQUESTS; i++) {
            Socket socket = connect();
            send(socket, "GET /read HTTP/1.1\r\n");
            partial.add(socket);
        }
        Thread.sleep(SECOND_PART_DELAY_MILLIS);
        for (Socket socket : partial) {
            send(socket, "Host: x\r\nX-Req");
        }
        assertEquals(200, status(call(request("read", "whole", "", ""))));
    }

    /**
     * Guards against evicting a connection, for one that waits, before its first request has been
     * read: its client found it closed although it had been given room.
     */
    @Example
    void newConnectionsHaveTimeForTheirFirstRequest() throws Exception {
        StandIn backend = new StandIn(request -> OK);
        start(SOCKETS, 1, "", backend.host("b"));
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < SOCKETS; i++) {
            clients.add(connect());
        }
        Thread.sleep(FIRST_REQUEST_DELAY_MILLIS);
        for (int i = 0; i < SOCKETS; i++) {
            send(clients.get(i), request("read", "r" + i, "", ""));
        }
        for (int i = 0; i < SOCKETS; i++) {
            assertEquals(200, status(receive(clients.get(i))), "request " + i);
        }
    }

    /**
     * Guards against making room for one of those that wait after the other: with hundreds of
     * partial requests that might all have been evicted, a client was closed unread after a second.
     */
    @Example
    void manyPartialRequestsGiveWayTogether() throws Exception {
        StandIn backend = new StandIn(request -> OK);
        start(MANY_SOCKETS, 1, "", backend.host("b"));
        for (int i = 0; i < MANY_PARTIAL_REQUESTS; i++) {
            send(connect(), "GET /read HTTP/1.1\r\nHost: x\r\nX-Req");
        }
        assertEquals(200, status(call(request("read", "whole", "", ""))));
    }
}
