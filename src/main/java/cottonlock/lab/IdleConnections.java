package cottonlock.lab;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Idle connections that use up a proxy's file descriptors. Each sends one health request and then
 * stays open; whenever it ends, it is opened again. Runs on the loop's thread.
 */
final class IdleConnections implements Connection.Owner {
    /** The delay before a closed connection is opened again, in nanoseconds. */
    private static final long REOPEN_AFTER = 100_000_000L;

    private static final byte[] HEALTH_REQUEST =
            "GET /_health HTTP/1.1\r\nHost: lab\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

    private final EventLoop loop;
    private final ByteBuffer buffer;
    private final Supplier<InetSocketAddress> address;
    private final Set<Connection> connections = new HashSet<>();
    private boolean closed;

    /** Creates it without connections; the address is null while the proxy doesn't serve. */
    IdleConnections(EventLoop loop, ByteBuffer buffer, Supplier<InetSocketAddress> address) {
        this.loop = loop;
        this.buffer = buffer;
        this.address = address;
    }

    /** Opens this number of connections. */
    void openAll(int count) {
        for (int i = 0; i < count; i++) {
            open();
        }
    }

    /** Resets all connections and opens no more. */
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
        // The health responses don't matter here.
    }

    @Override
    public void onClosed(Connection conn, boolean byReset) {
        connections.remove(conn);
        loop.after(REOPEN_AFTER, this::open);
    }
}
