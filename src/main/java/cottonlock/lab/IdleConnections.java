package cottonlock.lab;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Idle connections that fill a proxy's descriptors: each asks for its health once and stays, and is
 * opened again when the proxy ends it. Lives on the loop's thread.
 */
final class IdleConnections implements Connection.Owner {
    /** Nanoseconds after which a connection that has ended is opened again. */
    private static final long REOPEN_AFTER = 100_000_000L;

    private static final byte[] HEALTH_REQUEST =
            "GET /_health HTTP/1.1\r\nHost: lab\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

    private final EventLoop loop;
    private final ByteBuffer buffer;
    private final Supplier<InetSocketAddress> address;
    private final Set<Connection> connections = new HashSet<>();
    private boolean closed;

    /** The address is null while the proxy does not serve. */
    IdleConnections(EventLoop loop, ByteBuffer buffer, Supplier<InetSocketAddress> address) {
        this.loop = loop;
        this.buffer = buffer;
        this.address = address;
    }

    /** Opens so many connections. */
    void openAll(int count) {
        for (int i = 0; i < count; i++) {
            open();
        }
    }

    /** Ends all connections for good. */
    void closeAll() {
        closed = true;
        Set.copyOf(connections).forEach(Connection::reset);
    }

    private void open() {
        if (closed) {
            return;
        }
        InetSocketAddress to = address.get();
        if (to == null) {
            loop.after(REOPEN_AFTER, this::open);
        } else {
            connections.add(Connection.open(loop, to, this, buffer));
        }
    }

    @Override
    public void onConnected(Connection conn) {
        conn.write(HEALTH_REQUEST);
    }

    @Override
    public void onBytes(Connection conn, byte[] bytes, int length) {
        // Answers about the proxy's health are of no interest.
    }

    @Override
    public void onClosed(Connection conn, boolean byReset) {
        connections.remove(conn);
        loop.after(REOPEN_AFTER, this::open);
    }
}
