package cottonlock.lab;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;

/**
 * One connection of a stand-in, with the simulated network that it goes through. It owns its
 * channel and closes it in one place; {@link Owner#onClosed} is called exactly once.
 */
final class Connection implements EventLoop.ReadyHandler {
    /** Receives the events of a connection. */
    interface Owner {
        /** The connection is established, opened by the stand-in or accepted by its listener. */
        default void onConnected(Connection conn) {}

        /** Bytes have arrived through the network. */
        void onBytes(Connection conn, byte[] bytes, int length);

        /** The connection has ended, closed by the peer or from this side. */
        void onClosed(Connection conn, boolean byReset);
    }

    /** The size of the buffer shared by all connections of a loop: only one is read at a time. */
    private static final int READ_BUFFER_BYTES = 64 << 10;

    private final EventLoop loop;
    private final SocketChannel channel;
    private final Owner owner;
    private final NetworkPath path;
    private final ByteBuffer buffer;
    private final Deque<ByteBuffer> writeQueue = new ArrayDeque<>();
    private SelectionKey key;
    private boolean closeAfterWrites;
    private boolean closed;

    /**
     * When the last delayed bytes are delivered, in each direction: delayed bytes stay in order.
     */
    private long lastDeliveryIn;

    private long lastDeliveryOut;

    /** An object attached by the owner. */
    Object attachment;

    /**
     * When the bytes passed to the owner were read from the socket, before the delay of the
     * simulated network.
     */
    long receivedAt;

    private Connection(
            EventLoop loop,
            SocketChannel channel,
            Owner owner,
            NetworkPath path,
            ByteBuffer buffer) {
        this.loop = loop;
        this.channel = channel;
        this.owner = owner;
        this.path = path;
        this.buffer = buffer;
    }

    static ByteBuffer sharedBuffer() {
        return ByteBuffer.allocate(READ_BUFFER_BYTES);
    }

    /** Wraps a connection that a stand-in has accepted. */
    static Connection fromAccepted(
            EventLoop loop, SocketChannel channel, Owner owner, NetworkPath path, ByteBuffer buffer)
            throws IOException {
        Connection conn = new Connection(loop, channel, owner, path, buffer);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        conn.key = loop.register(channel, SelectionKey.OP_READ, conn);
        return conn;
    }

    /** Opens a connection; the owner is notified of the result later, never during this call. */
    static Connection open(EventLoop loop, InetSocketAddress to, Owner owner, ByteBuffer buffer) {
        SocketChannel channel = null;
        try {
            channel = SocketChannel.open();
        } catch (IOException e) {
            // No file descriptors are left: the connection is never established. A run that gets
            // here has fallen far behind, and reports that.
        }
        Connection conn = new Connection(loop, channel, owner, new NetworkPath(null), buffer);
        if (channel == null) {
            loop.after(0, () -> conn.closeChannel(true));
            return conn;
        }
        try {
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            conn.key = loop.register(channel, SelectionKey.OP_CONNECT, conn);
            if (channel.connect(to)) {
                loop.after(0, conn::onConnectFinished);
            }
        } catch (IOException e) {
            loop.after(0, () -> conn.closeChannel(true));
        }
        return conn;
    }

    private void onConnectFinished() {
        if (!closed) {
            key.interestOps(SelectionKey.OP_READ);
            owner.onConnected(this);
        }
    }

    @Override
    public void onReady(SelectionKey ready) {
        try {
            if (ready.isConnectable()) {
                channel.finishConnect();
                onConnectFinished();
            }
            if (!closed && ready.isValid() && ready.isWritable()) {
                flush();
            }
            if (!closed && ready.isValid() && ready.isReadable()) {
                read();
            }
        } catch (IOException e) {
            closeChannel(true);
        }
    }

    private void read() throws IOException {
        buffer.clear();
        int n = channel.read(buffer);
        if (path.cut) {
            // The peer has sent this, but the network is cut and drops it, the FIN included.
            if (n < 0) {
                key.interestOps(0);
            }
            return;
        }
        if (n < 0) {
            if (path.isUnrestricted()) {
                closeChannel(false);
            } else {
                lastDeliveryIn = Math.max(lastDeliveryIn, loop.now() + path.delayNanos);
                loop.at(lastDeliveryIn, () -> closeChannel(false));
                key.interestOps(0);
            }
            return;
        }
        if (n == 0) {
            return;
        }
        long readAt = loop.now();
        if (path.isUnrestricted() && lastDeliveryIn <= readAt) {
            receivedAt = readAt;
            assert buffer.arrayOffset() == 0;
            owner.onBytes(this, buffer.array(), n);
            return;
        }
        byte[] bytes =
                Arrays.copyOfRange(buffer.array(), buffer.arrayOffset(), buffer.arrayOffset() + n);
        lastDeliveryIn =
                Math.max(lastDeliveryIn, loop.now() + path.delayNanos) + path.transferNanos(n);
        loop.at(
                lastDeliveryIn,
                () -> {
                    if (!closed && !path.cut) {
                        receivedAt = readAt;
                        owner.onBytes(this, bytes, bytes.length);
                    }
                });
    }

    /** Writes bytes in one piece. */
    void write(byte[] bytes) {
        write(bytes, 0);
    }

    /** Writes a response with the faults of the simulated network. */
    void writeResponse(byte[] response) {
        NetworkPath.Transmission transmission = path.transmit(response);
        long delayNanos = 0;
        for (byte[] piece : transmission.pieces()) {
            write(piece, delayNanos);
            delayNanos += NetworkPath.SPLIT_PAUSE_NANOS;
        }
        if (transmission.thenReset()) {
            loop.at(Math.max(lastDeliveryOut, loop.now() + delayNanos), this::reset);
        }
    }

    private void write(byte[] bytes, long delayNanos) {
        if (closed || path.cut) {
            return;
        }
        long now = loop.now();
        if (delayNanos == 0 && path.isUnrestricted() && lastDeliveryOut <= now) {
            writeQueue.add(ByteBuffer.wrap(bytes));
            flushOrClose();
            return;
        }
        lastDeliveryOut =
                Math.max(lastDeliveryOut, now + path.delayNanos + delayNanos)
                        + path.transferNanos(bytes.length);
        loop.at(
                lastDeliveryOut,
                () -> {
                    if (!closed && !path.cut) {
                        writeQueue.add(ByteBuffer.wrap(bytes));
                        flushOrClose();
                    }
                });
    }

    private void flushOrClose() {
        try {
            flush();
        } catch (IOException e) {
            closeChannel(true);
        }
    }

    private void flush() throws IOException {
        while (!writeQueue.isEmpty()) {
            channel.write(writeQueue.peek());
            if (writeQueue.peek().hasRemaining()) {
                key.interestOps(SelectionKey.OP_READ | SelectionKey.OP_WRITE);
                return;
            }
            writeQueue.poll();
        }
        if (closeAfterWrites) {
            closeChannel(false);
        } else if (key.isValid() && key.interestOps() != 0) {
            key.interestOps(SelectionKey.OP_READ);
        }
    }

    boolean isClosed() {
        return closed;
    }

    /** Closes the connection with a FIN after all queued bytes are written. */
    void close() {
        closeAfterWrites = true;
        if (writeQueue.isEmpty() && lastDeliveryOut <= loop.now()) {
            closeChannel(false);
        } else if (lastDeliveryOut > loop.now()) {
            loop.at(lastDeliveryOut + 1, this::flushOrClose);
        }
    }

    /** Closes the connection with an RST at once. */
    void reset() {
        if (!closed && channel != null) {
            try {
                channel.setOption(StandardSocketOptions.SO_LINGER, 0);
            } catch (IOException e) {
                // The connection is then closed with a FIN.
            }
            closeChannel(true);
        }
    }

    /** Closes the channel; it is closed in no other place. */
    private void closeChannel(boolean byReset) {
        if (closed) {
            return;
        }
        closed = true;
        try {
            if (channel != null) {
                channel.close();
            }
        } catch (IOException e) {
            // The channel is closed anyway.
        }
        owner.onClosed(this, byReset);
    }
}
