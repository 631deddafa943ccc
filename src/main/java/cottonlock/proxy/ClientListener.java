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
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.IntSupplier;

/** Accepts the connections of clients and limits their number. */
final class ClientListener implements Runnable {
    /**
     * Connections that may wait to be accepted: as many as a burst brings during one garbage
     * collection.
     */
    private static final int BACKLOG = 512;

    private final ServerSocket server;

    /**
     * Milliseconds to wait for a slot; a client that waits longer is better served by another
     * proxy.
     */
    private static final long MAX_SLOT_WAIT_MILLIS = 250;

    /** Milliseconds between attempts to evict a connection. */
    private static final long SLOT_CHECK_MILLIS = 5;

    /**
     * Timeout of accept in milliseconds, after which the listener checks whether it is to drain.
     * While it drains, {@code LAST_ACCEPT_TIMEOUT_MILLIS} applies, after which the queue is taken
     * to be empty.
     */
    private static final int ACCEPT_TIMEOUT_MILLIS = 100;

    private static final int LAST_ACCEPT_TIMEOUT_MILLIS = 1;

    private final Semaphore slots;
    private final IntSupplier maxClientsAtPresent;
    private final BiFunction<Socket, ClientListener, ClientConnection> connectionFactory;
    private final ConnectionThreads workers;
    private final RateLimitedLog log;
    private volatile boolean draining;
    private final Set<ClientConnection> clients = ConcurrentHashMap.newKeySet();
    private final RunCompletion completion = new RunCompletion();

    /**
     * Opens the listening socket.
     *
     * @param sharesPort whether another process of this proxy may listen on the address too
     * @param maxClientsAtPresent how many connections there is memory for at present
     */
    ClientListener(
            InetSocketAddress address,
            boolean sharesPort,
            int maxClients,
            IntSupplier maxClientsAtPresent,
            BiFunction<Socket, ClientListener, ClientConnection> connectionFactory,
            ConnectionThreads workers,
            RateLimitedLog log)
            throws IOException {
        this.slots = new Semaphore(maxClients);
        this.maxClientsAtPresent = maxClientsAtPresent;
        this.connectionFactory = connectionFactory;
        this.workers = workers;
        this.log = log;
        this.server = new ServerSocket();
        server.setReuseAddress(true);
        if (sharesPort) {
            server.setOption(StandardSocketOptions.SO_REUSEPORT, true);
        }
        server.setSoTimeout(ACCEPT_TIMEOUT_MILLIS);
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
                if (draining) {
                    server.setSoTimeout(LAST_ACCEPT_TIMEOUT_MILLIS);
                }
                accept();
            } catch (OutOfMemoryError e) {
                // The next connection may find memory, as others end: without a listener none would
                // be served any more.
                evictOne();
                pause();
            } catch (SocketTimeoutException e) {
                // If it were closed before the queue is empty, the kernel would reset the
                // connections in it.
                if (draining) {
                    Sockets.close(server);
                }
            } catch (IOException e) {
                if (!server.isClosed()) {
                    log.warn("accept failed", String.valueOf(e.getMessage()));
                    // Without free descriptors, no connection could be accepted until a client
                    // leaves.
                    evictOne();
                    pause();
                }
            }
        }
    }

    private void accept() throws IOException {
        Socket socket = server.accept();
        boolean registered = false;
        try {
            register(socket);
            registered = true;
        } finally {
            if (!registered) {
                Sockets.close(socket);
            }
        }
    }

    private void register(Socket socket) {
        if (!acquireSlot()) {
            log.warn(
                    "too many clients",
                    "closed a new connection unread; " + clients.size() + " are open");
            Sockets.close(socket);
            return;
        }
        ClientConnection client = createConnection(socket);
        if (draining) {
            client.closeAfterNextResponse();
        }
        try {
            workers.serve(client);
        } catch (OutOfMemoryError e) {
            // No thread is available: one client less is better than no proxy.
            log.warn("no thread", "no thread is available; closed a new connection unread");
            Sockets.close(socket);
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

    /** Acquires a slot, if necessary by evicting another connection. */
    private boolean acquireSlot() {
        for (long waitedMillis = 0;
                waitedMillis <= MAX_SLOT_WAIT_MILLIS;
                waitedMillis += SLOT_CHECK_MILLIS) {
            try {
                if (tryAcquireSlot(waitedMillis == 0 ? 0 : SLOT_CHECK_MILLIS)) {
                    return true;
                }
            } catch (InterruptedException e) {
                return false;
            }
            evictOne();
        }
        return false;
    }

    private boolean tryAcquireSlot(long timeoutMillis) throws InterruptedException {
        if (clients.size() >= maxClientsAtPresent.getAsInt()) {
            Thread.sleep(timeoutMillis);
            return false;
        }
        return slots.tryAcquire(timeoutMillis, TimeUnit.MILLISECONDS);
    }

    /**
     * Evicts one of the connections without an open request: an idle one before one that reads a
     * request, and last one that waits for space for its body; then one that has never submitted a
     * request before one that has, then the one that has been inactive longest. A client that sends
     * part of a request and then nothing must not block others, and many clients that only check
     * the proxy's health must not displace those that send requests, however long these are idle.
     */
    private void evictOne() {
        clients.stream()
                .filter(client -> !client.hasOpenRequest())
                .min(
                        Comparator.comparing(ClientConnection::isAwaitingSpace)
                                .thenComparing(ClientConnection::isBusy)
                                .thenComparing(ClientConnection::hasSubmittedRequest)
                                .thenComparingLong(ClientConnection::lastActivityNanos))
                .ifPresent(ClientConnection::evictUnlessActive);
    }

    private static void pause() {
        try {
            // Without free descriptors, accept fails at once each time.
            Thread.sleep(20);
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

    /** For tests only: the open connections. */
    Set<ClientConnection> clients() {
        return clients;
    }

    int port() {
        return server.getLocalPort();
    }
}
