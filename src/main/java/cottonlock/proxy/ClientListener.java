package cottonlock.proxy;

import cottonlock.concurrent.RunCompletion;
import cottonlock.proxy.io.RateLimitedLog;
import cottonlock.proxy.io.Sockets;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.StandardSocketOptions;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.BiFunction;

/** Accepts the connections of clients and limits their number. */
final class ClientListener implements Runnable {
    /**
     * Connections that may wait to be accepted: as many as a burst brings during one garbage
     * collection.
     */
    private static final int BACKLOG = 512;

    private final ServerSocket server;

    /** Milliseconds within which a connection that may be evicted is read, evicted and ends. */
    private static final long EVICTION_MARGIN_MILLIS = 100;

    /**
     * Milliseconds to wait for a slot: until a request that was sent in part, after the last slot
     * had been given, has been evicted. A client that waits longer is better served by another
     * proxy.
     */
    private static final long MAX_SLOT_WAIT_MILLIS =
            ClientConnection.PARTIAL_REQUEST_MILLIS + EVICTION_MARGIN_MILLIS;

    /** The same while slots become free; a client waits for its turn then. */
    private static final long MAX_TURN_WAIT_MILLIS = 1_000;

    /** Milliseconds between attempts to evict a connection. */
    private static final int SLOT_CHECK_MILLIS = 5;

    /** Connections that may wait for a slot, of the descriptors reserved for such moments. */
    static final int MIN_WAITING = 4;

    /**
     * Timeout of accept in milliseconds, after which the listener checks whether it is to drain.
     * While it drains, {@code LAST_ACCEPT_TIMEOUT_MILLIS} applies, after which the queue is taken
     * to be empty.
     */
    private static final int ACCEPT_TIMEOUT_MILLIS = 100;

    private static final int LAST_ACCEPT_TIMEOUT_MILLIS = 1;

    /** Milliseconds after which a call of accept has found that no connection was queued. */
    private static final long QUEUE_EMPTY_MILLIS = 1;

    /**
     * A connection that waits for a slot.
     *
     * @param sinceNanos since when it may have waited, by the monotonic clock
     */
    private record WaitingConnection(Socket socket, long sinceNanos) {}

    private final Semaphore slots;
    private final ClientLimit limit;
    private final int maxWaiting;
    private final BiFunction<Socket, ClientListener, ClientConnection> connectionFactory;
    private final WorkerThreads workers;
    private final RateLimitedLog log;
    private volatile boolean draining;
    private final Set<ClientConnection> clients = ConcurrentHashMap.newKeySet();
    private final RunCompletion completion = new RunCompletion();
    private final ClientEviction eviction;

    /** Connections that were closed before they were read. */
    private final LongAdder closedUnread = new LongAdder();

    /** In the order in which they were accepted; used by the listener's thread only. */
    private final Deque<WaitingConnection> waiting = new ArrayDeque<>();

    /**
     * When no connection was queued for the last time, by the monotonic clock; used by the
     * listener's thread only.
     */
    private long queueEmptyNanos = System.nanoTime();

    /** When a slot was last given, by the monotonic clock; used by the listener's thread only. */
    private long slotGivenNanos = System.nanoTime();

    /** Opens the listening socket; as few connections as possible may wait for a slot. */
    ClientListener(
            InetSocketAddress address,
            boolean sharesPort,
            int maxClients,
            ClientLimit limit,
            BiFunction<Socket, ClientListener, ClientConnection> connectionFactory,
            WorkerThreads workers,
            RateLimitedLog log)
            throws IOException {
        this(address, sharesPort, maxClients, MIN_WAITING, limit, connectionFactory, workers, log);
    }

    /**
     * Opens the listening socket.
     *
     * @param sharesPort whether another process of this proxy may listen on the address too
     * @param maxClients how many connections there are sockets for
     * @param maxWaiting how many more there are sockets for while they wait
     * @param limit how many connections there is memory for at present
     */
    ClientListener(
            InetSocketAddress address,
            boolean sharesPort,
            int maxClients,
            int maxWaiting,
            ClientLimit limit,
            BiFunction<Socket, ClientListener, ClientConnection> connectionFactory,
            WorkerThreads workers,
            RateLimitedLog log)
            throws IOException {
        this.slots = new Semaphore(maxClients);
        this.maxWaiting = maxWaiting;
        this.limit = limit;
        this.connectionFactory = connectionFactory;
        this.workers = workers;
        this.log = log;
        this.eviction = new ClientEviction(clients, limit, workers, log);
        this.server = new ServerSocket();
        server.setReuseAddress(true);
        if (sharesPort) {
            server.setOption(StandardSocketOptions.SO_REUSEPORT, true);
        }
        try {
            server.bind(address, BACKLOG);
        } catch (IOException e) {
            Sockets.close(server);
            throw new IOException("cannot listen on " + address + ": " + e.getMessage(), e);
        }
    }

    @Override
    public void run() {
        if (!completion.begin()) {
            return;
        }
        try {
            acceptAll();
        } finally {
            completion.end();
        }
    }

    private void acceptAll() {
        while (!server.isClosed()) {
            try {
                acceptNext();
                eviction.giveMemoryBack();
                admitWaiting();
            } catch (OutOfMemoryError e) {
                // The next connection may find memory, as others end: without a listener none would
                // be served any more.
                makeRoom();
                pause();
            } catch (IOException e) {
                if (!server.isClosed()) {
                    log.warn("accept failed", String.valueOf(e.getMessage()));
                    // Without free descriptors, no connection could be accepted until a client
                    // leaves.
                    makeRoom();
                    pause();
                }
            }
        }
        waiting.forEach(connection -> Sockets.close(connection.socket()));
    }

    /** Accepts a connection, which is to wait for a slot; waits for a limited time for one. */
    private void acceptNext() throws IOException {
        int timeoutMillis = draining ? LAST_ACCEPT_TIMEOUT_MILLIS : ACCEPT_TIMEOUT_MILLIS;
        server.setSoTimeout(
                waiting.isEmpty() ? timeoutMillis : Math.min(timeoutMillis, SLOT_CHECK_MILLIS));
        long calledNanos = System.nanoTime();
        try {
            Socket socket = server.accept();
            long acceptedNanos = System.nanoTime();
            if (acceptedNanos - calledNanos > TimeUnit.MILLISECONDS.toNanos(QUEUE_EMPTY_MILLIS)) {
                queueEmptyNanos = acceptedNanos;
            }
            // It may have been queued in the kernel since that queue was last empty.
            waiting.add(new WaitingConnection(socket, queueEmptyNanos));
        } catch (SocketTimeoutException e) {
            queueEmptyNanos = System.nanoTime();
            // If it were closed before the queue is empty, the kernel would reset the connections
            // in it.
            if (draining && waiting.isEmpty()) {
                Sockets.close(server);
            }
        }
    }

    /**
     * Gives slots to the connections that wait, if necessary by evicting others, and closes those
     * that have waited for too long. They wait side by side: if each were waited for in turn, those
     * behind it would learn only after seconds that they are not served. Returns when one more may
     * wait.
     */
    private void admitWaiting() {
        while (!waiting.isEmpty() && !server.isClosed()) {
            if (tryAcquireSlot()) {
                slotGivenNanos = System.nanoTime();
                register(waiting.poll().socket());
                continue;
            }
            boolean roomIsBeingMade = makeRoom();
            if (isTooLong(waiting.peek().sinceNanos(), roomIsBeingMade)) {
                closeUnread(waiting.poll());
            } else if (waiting.size() < maxWaiting) {
                return;
            } else if (isTooLong(queueEmptyNanos, roomIsBeingMade)) {
                // Those that are queued in the kernel may have waited as long.
                closeUnread(waiting.poll());
            } else {
                pause(SLOT_CHECK_MILLIS);
            }
        }
    }

    /**
     * Whether a wait has been too long: sooner if no slot has been given meanwhile and none is
     * about to become free.
     *
     * @param sinceNanos when it began, by the monotonic clock
     * @param roomIsBeingMade whether a connection is ending
     */
    private boolean isTooLong(long sinceNanos, boolean roomIsBeingMade) {
        long nowNanos = System.nanoTime();
        long waitedNanos = nowNanos - sinceNanos;
        if (waitedNanos > TimeUnit.MILLISECONDS.toNanos(MAX_TURN_WAIT_MILLIS)) {
            return true;
        }
        long withoutSlotNanos = Math.min(waitedNanos, nowNanos - slotGivenNanos);
        return !roomIsBeingMade
                && withoutSlotNanos > TimeUnit.MILLISECONDS.toNanos(MAX_SLOT_WAIT_MILLIS);
    }

    private void closeUnread(WaitingConnection connection) {
        closedUnread.increment();
        log.warn(
                "too many clients",
                "closed a new connection unread; " + clients.size() + " are open");
        Sockets.close(connection.socket());
    }

    private boolean tryAcquireSlot() {
        return clients.size() < limit.maxClients() && slots.tryAcquire();
    }

    /** Serves a connection that has acquired its slot; its socket is closed if that fails. */
    private void register(Socket socket) {
        boolean registered = false;
        try {
            ClientConnection client = createConnection(socket);
            if (draining) {
                client.closeAfterNextResponse();
            }
            serve(client);
            registered = true;
        } finally {
            if (!registered) {
                Sockets.close(socket);
            }
        }
    }

    private void serve(ClientConnection client) {
        try {
            workers.serve(client);
        } catch (OutOfMemoryError e) {
            // No thread is available: one client less is better than no proxy.
            log.warn("no thread", "no thread is available; closed a new connection unread");
            client.abort();
            connectionClosed(client);
        }
    }

    /** Creates a connection that has acquired its slot, which is released if that fails. */
    private ClientConnection createConnection(Socket socket) {
        boolean created = false;
        try {
            ClientConnection client = connectionFactory.apply(socket, this);
            clients.add(client);
            created = true;
            return client;
        } finally {
            if (!created) {
                slots.release();
            }
        }
    }

    /** Makes room for those that wait; false if none of those that have a slot is ending. */
    private boolean makeRoom() {
        int count = Math.max(1, waiting.size());
        if (slots.availablePermits() > 0) {
            // There is a socket, but no memory.
            limit.makeRoom(count);
        }
        return eviction.evict(count);
    }

    private static void pause() {
        // Without free descriptors, accept fails at once each time.
        pause(20);
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Called once by the thread of a connection that has released all its resources. */
    void connectionClosed(ClientConnection client) {
        clients.remove(client);
        slots.release();
    }

    /**
     * Accepts the connections that are queued and no others, and ends each connection after its
     * next response.
     */
    void drain() {
        draining = true;
        List.copyOf(clients).forEach(ClientConnection::closeAfterNextResponse);
    }

    /**
     * Ends each idle connection; called repeatedly while the listener drains, as some have just
     * been accepted.
     */
    void closeIdle() {
        clients.forEach(ClientConnection::close);
    }

    /** Whether no connection is left and none can be added. */
    boolean isEmpty() {
        return server.isClosed() && clients.isEmpty();
    }

    /**
     * Stops accepting at once and ends each connection after the response that it waits for. When
     * this returns, {@link #run} has returned, the address is free, and each accepted connection
     * has been asked to end.
     */
    void close() {
        completion.close();
        Sockets.close(server);
        completion.awaitEnd();
        closeIdle();
    }

    /** Ends all connections at once. */
    void abort() {
        List.copyOf(clients).forEach(ClientConnection::abort);
    }

    /** What became of connections, as JSON fields, each preceded by a comma. */
    String metricsJson() {
        return ",\"connections_closed_unread\":" + closedUnread.sum() + eviction.metricsJson();
    }

    /** The number of open connections. */
    int clientCount() {
        return clients.size();
    }

    /** For tests only: the open connections. */
    Set<ClientConnection> clients() {
        return clients;
    }

    int port() {
        return server.getLocalPort();
    }
}
