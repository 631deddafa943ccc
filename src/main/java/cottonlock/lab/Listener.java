package cottonlock.lab;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * A listening socket on loopback whose address only one proxy knows, so that a stand-in knows which
 * proxy connects. It can be listening, closed (connections are refused, as after a process has
 * died) or a blackhole (connections are never established, as with a host that is cut off).
 */
final class Listener implements EventLoop.ReadyHandler {
    /** Enough for the connections of a burst while the loop is busy elsewhere. */
    private static final int BACKLOG = 256;

    /**
     * The number of connections that fill the accept queue of a blackhole with a backlog of one,
     * with one to spare.
     */
    private static final int QUEUE_FILLERS = 3;

    private final EventLoop loop;
    private final ByteBuffer buffer;
    private final Connection.Owner owner;
    private final NetworkPath path;

    /** The proxy that connects here. */
    final int proxy;

    private ServerSocketChannel server;
    private final List<SocketChannel> queueFillers = new ArrayList<>();
    final Set<Connection> connections = new LinkedHashSet<>();
    private InetSocketAddress address;

    /** An object attached by the stand-in that owns the listener. */
    final Object attachment;

    Listener(
            EventLoop loop,
            ByteBuffer buffer,
            Connection.Owner owner,
            NetworkPath path,
            int proxy,
            Object attachment)
            throws IOException {
        this.loop = loop;
        this.buffer = buffer;
        this.owner = owner;
        this.path = path;
        this.proxy = proxy;
        this.attachment = attachment;
        this.address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        startListening();
    }

    InetSocketAddress address() {
        return address;
    }

    void startListening() throws IOException {
        stopListening();
        bind(BACKLOG);
        loop.register(server, SelectionKey.OP_ACCEPT, this);
    }

    private void bind(int backlog) throws IOException {
        loop.deregisterClosed();
        server = ServerSocketChannel.open();
        server.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        server.bind(address, backlog);
        address = (InetSocketAddress) server.getLocalAddress();
    }

    /** Closes the listening socket: new connections are refused, and open ones stay. */
    void stopListening() {
        close(server);
        server = null;
        queueFillers.forEach(Listener::close);
        queueFillers.clear();
    }

    /**
     * Makes the listener a blackhole: new connections are never established, because the accept
     * queue is full.
     */
    void blackhole() throws IOException {
        stopListening();
        bind(1);
        for (int i = 0; i < QUEUE_FILLERS; i++) {
            SocketChannel filler = SocketChannel.open();
            filler.configureBlocking(false);
            filler.connect(address);
            queueFillers.add(filler);
        }
    }

    private static void close(java.io.Closeable socket) {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // The socket is closed anyway.
        }
    }

    @Override
    public void onReady(SelectionKey key) throws IOException {
        for (SocketChannel channel = server.accept(); channel != null; channel = server.accept()) {
            Connection conn = Connection.fromAccepted(loop, channel, owner, path, buffer);
            conn.attachment = this;
            connections.add(conn);
            owner.onConnected(conn);
            if (server == null) {
                return;
            }
        }
    }

    /** Resets all open connections. */
    void resetConnections() {
        List.copyOf(connections).forEach(Connection::reset);
        connections.clear();
    }
}
