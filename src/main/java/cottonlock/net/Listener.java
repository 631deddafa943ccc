package cottonlock.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiFunction;

/** Takes in clients' connections, and keeps them within the sockets that are theirs. */
final class Listener implements Runnable {
    /** As many may wait to be accepted as a burst brings within the time of one garbage collection. */
    private static final int BACKLOG = 512;

    private final ServerSocket server;
    private final int most;
    private final BiFunction<Socket, Listener, Client> clientOf;
    private final Log log;
    private final Set<Client> clients = ConcurrentHashMap.newKeySet();

    Listener(InetSocketAddress address, int most, BiFunction<Socket, Listener, Client> clientOf, Log log)
        throws IOException {
        this.most = most;
        this.clientOf = clientOf;
        this.log = log;
        this.server = new ServerSocket();
        server.setReuseAddress(true);
        try {
            server.bind(address, BACKLOG);
        } catch (IOException e) {
            Sockets.close(server);
            throw new IOException("cannot listen on " + address + ": " + e.getMessage(), e);
        }
    }

    @Override
    public void run() {
        while (!server.isClosed()) {
            try {
                take(server.accept());
            } catch (IOException e) {
                if (!server.isClosed()) {
                    log.warn("accept failed", String.valueOf(e.getMessage()));
                    pause();
                }
            }
        }
    }

    private void take(Socket socket) {
        if (clients.size() >= most - 1) {
            // The client whose connection has rested longest will miss it least.
            clients.stream().filter(client -> !client.busy())
                .min(Comparator.comparingLong(Client::restingSince)).ifPresent(Client::close);
        }
        if (clients.size() >= most) {
            log.warn("too many clients", "closed a new connection unread; " + clients.size() + " are open");
            Sockets.close(socket);
            return;
        }
        Client client = clientOf.apply(socket, this);
        clients.add(client);
        try {
            Sockets.start("client", client);
        } catch (OutOfMemoryError e) {
            // No thread can be had: one client less is better than no proxy.
            log.warn("no thread", "closed a new connection unread");
            Sockets.close(socket);
            clients.remove(client);
        }
    }

    private static void pause() {
        try {
            // Out of descriptors, accept fails at once again and again.
            Thread.sleep(20);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    void ended(Client client) {
        clients.remove(client);
    }

    /** Takes in no more, and ends each connection after the answer that it waits for. */
    void close() {
        Sockets.close(server);
        List.copyOf(clients).forEach(Client::close);
    }

    /** Ends all connections at once. */
    void abort() {
        List.copyOf(clients).forEach(Client::abort);
    }

    /** Whether any request is being read or any work item is under way. */
    boolean busy() {
        return clients.stream().anyMatch(Client::busy);
    }

    int port() {
        return server.getLocalPort();
    }
}
