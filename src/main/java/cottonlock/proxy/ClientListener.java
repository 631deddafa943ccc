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

/** Takes in clients' connections, and keeps them within the sockets that are theirs. */
final class ClientListener implements Runnable {
    /**
     * As many may wait to be accepted as a burst brings within the time of one garbage collection.
     */
    private static final int BACKLOG = 512;

    private final ServerSocket server;

    /**
     * Milliseconds for a connection to come free; whoever waits longer is better served elsewhere.
     */
    private static final long MAX_SLOT_WAIT_MILLIS = 250;

    /** Milliseconds between looks for one that can be closed. */
    private static final long SLOT_CHECK_MILLIS = 5;

    /** Milliseconds between looks at whether to leave; and at a queue that may be empty. */
    private static final int ACCEPT_TIMEOUT_MILLIS = 100;

    private static final int LAST_ACCEPT_TIMEOUT_MILLIS = 1;

    private final Semaphore slots;
    private final BiFunction<Socket, ClientListener, ClientConnection> connectionFactory;
    private final ConnectionThreads workers;
    private final RateLimitedLog log;
    private volatile boolean draining;
    private final Set<ClientConnection> clients = ConcurrentHashMap.newKeySet();
    private final RunCompletion completion = new RunCompletion();

    /** Shares: another process of this proxy may listen there too. */
    ClientListener(
            InetSocketAddress address,
            boolean sharesPort,
            int maxClients,
            BiFunction<Socket, ClientListener, ClientConnection> connectionFactory,
            ConnectionThreads workers,
            RateLimitedLog log)
            throws IOException {
        this.slots = new Semaphore(maxClients);
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
                register(server.accept());
            } catch (SocketTimeoutException e) {
                // Closed before it was empty, the kernel would reset what it has queued here
                // unheard.
                if (draining) {
                    Sockets.close(server);
                }
            } catch (IOException e) {
                if (!server.isClosed()) {
                    log.warn("accept failed", String.valueOf(e.getMessage()));
                    // Without free descriptors nobody would come in until somebody leaves.
                    evictOne();
                    pause();
                }
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
        ClientConnection client = connectionFactory.apply(socket, this);
        clients.add(client);
        if (draining) {
            client.closeAfterNextResponse();
        }
        try {
            workers.serve(client);
        } catch (OutOfMemoryError e) {
            // No thread can be had: one client less is better than no proxy.
            log.warn("no thread", "closed a new connection unread");
            Sockets.close(socket);
            connectionClosed(client);
        }
    }

    /** Takes a place, if need be that of the client that will miss it least. */
    private boolean acquireSlot() {
        for (long waitedMillis = 0; waitedMillis <= MAX_SLOT_WAIT_MILLIS; waitedMillis += SLOT_CHECK_MILLIS) {
            try {
                if (slots.tryAcquire(
                        waitedMillis == 0 ? 0 : SLOT_CHECK_MILLIS, TimeUnit.MILLISECONDS)) {
                    return true;
                }
            } catch (InterruptedException e) {
                return false;
            }
            evictOne();
        }
        return false;
    }

    /**
     * Ends the connection that will be missed least. One that sends half a request, and then
     * nothing, must not keep the others out; and a crowd that asks for nothing but our health must
     * not push out those who bring work, however long at rest.
     */
    private void evictOne() {
        clients.stream()
                .filter(client -> !client.hasOpenRequest())
                .min(
                        Comparator.comparing(ClientConnection::isBusy)
                                .thenComparing(ClientConnection::hasSubmittedRequest)
                                .thenComparingLong(ClientConnection::lastActivityNanos))
                .ifPresent(ClientConnection::evictUnlessActive);
    }

    private static void pause() {
        try {
            // Out of descriptors, accept fails at once again and again.
            Thread.sleep(20);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** From a client's thread, once: it has given back all that it held. */
    void connectionClosed(ClientConnection client) {
        clients.remove(client);
        slots.release();
    }

    /**
     * Takes in what has been queued and nothing more, and leaves each connection after the next
     * answer.
     */
    void drain() {
        draining = true;
        List.copyOf(clients).forEach(ClientConnection::closeAfterNextResponse);
    }

    /**
     * Ends each connection that rests; again and again while it leaves, as some have just been
     * taken in.
     */
    void closeIdle() {
        clients.forEach(ClientConnection::close);
    }

    /** Whether no connection is left, and none can come. */
    boolean isEmpty() {
        return server.isClosed() && clients.isEmpty();
    }

    /**
     * Takes in no more, at once, and ends each connection after the answer that it waits for. When
     * this returns, {@link #run} has returned, the address is free, and each connection that was
     * accepted is among those that have been told to end.
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

    /** For tests alone: who is connected now. */
    Set<ClientConnection> clients() {
        return clients;
    }

    int port() {
        return server.getLocalPort();
    }
}
