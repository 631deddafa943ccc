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
 * One connection of a stand-in, with the network it goes over. It owns its channel and closes it in
 * one place; {@link Owner#ended} comes exactly once.
 */
final class Connection implements EventLoop.ReadyHandler {
    /** Whom a connection tells what happens on it. */
    interface Owner {
        /** It has come up; for connections that the stand-in opened. */
        default void up(Connection conn) {}

        /** Bytes have come through the network. */
        void came(Connection conn, byte[] bytes, int length);

        /** It is over: by the other side, or from here. */
        void ended(Connection conn, boolean byReset);
    }

    /** Shared by all connections of a loop: only one is read at a time. */
    private static final int READ = 64 << 10;

    private final EventLoop loop;
    private final SocketChannel channel;
    private final Owner owner;
    private final NetworkPath path;
    private final ByteBuffer buffer;
    private final Deque<ByteBuffer> out = new ArrayDeque<>();
    private SelectionKey key;
    private boolean closeAfterOut;
    private boolean ended;

    /** When the last bytes under way get through, each way: what is delayed stays in order. */
    private long inFree;

    private long outFree;

    /** What its owner knows it by. */
    Object of;

    /**
     * When the bytes that its owner is given left the other side: before the network's delay, if
     * there is one.
     */
    long cameAt;

    private Connection(EventLoop loop, SocketChannel channel, Owner owner, NetworkPath path, ByteBuffer buffer) {
        this.loop = loop;
        this.channel = channel;
        this.owner = owner;
        this.path = path;
        this.buffer = buffer;
    }

    static ByteBuffer sharedBuffer() {
        return ByteBuffer.allocate(READ);
    }

    /** A connection that a stand-in has accepted. */
    static Connection accepted(
            EventLoop loop, SocketChannel channel, Owner owner, NetworkPath path, ByteBuffer buffer)
            throws IOException {
        Connection conn = new Connection(loop, channel, owner, path, buffer);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        conn.key = loop.register(channel, SelectionKey.OP_READ, conn);
        return conn;
    }

    /** Opens a connection; what becomes of it the owner hears later, never during this call. */
    static Connection open(EventLoop loop, InetSocketAddress to, Owner owner, ByteBuffer buffer) {
        SocketChannel channel = null;
        try {
            channel = SocketChannel.open();
        } catch (IOException e) {
            // No more descriptors: it never comes up. A run that gets here has fallen far behind,
            // which it
            // tells.
        }
        Connection conn = new Connection(loop, channel, owner, new NetworkPath(null), buffer);
        if (channel == null) {
            loop.after(0, () -> conn.end(true));
            return conn;
        }
        try {
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            conn.key = loop.register(channel, SelectionKey.OP_CONNECT, conn);
            if (channel.connect(to)) {
                loop.after(0, conn::isUp);
            }
        } catch (IOException e) {
            loop.after(0, () -> conn.end(true));
        }
        return conn;
    }

    private void isUp() {
        if (!ended) {
            key.interestOps(SelectionKey.OP_READ);
            owner.up(this);
        }
    }

    @Override
    public void onReady(SelectionKey ready) {
        try {
            if (ready.isConnectable()) {
                channel.finishConnect();
                isUp();
            }
            if (!ended && ready.isValid() && ready.isWritable()) {
                flush();
            }
            if (!ended && ready.isValid() && ready.isReadable()) {
                read();
            }
        } catch (IOException e) {
            end(true);
        }
    }

    private void read() throws IOException {
        buffer.clear();
        int n = channel.read(buffer);
        if (path.cut) {
            // The other side has sent it, and the network has dropped it, its end included.
            if (n < 0) {
                key.interestOps(0);
            }
            return;
        }
        if (n < 0) {
            if (path.plain()) {
                end(false);
            } else {
                inFree = Math.max(inFree, loop.now() + path.delay);
                loop.at(inFree, () -> end(false));
                key.interestOps(0);
            }
            return;
        }
        if (n == 0) {
            return;
        }
        long read = loop.now();
        if (path.plain() && inFree <= read) {
            cameAt = read;
            assert buffer.arrayOffset() == 0;
            owner.came(this, buffer.array(), n);
            return;
        }
        byte[] bytes =
                Arrays.copyOfRange(buffer.array(), buffer.arrayOffset(), buffer.arrayOffset() + n);
        inFree = Math.max(inFree, loop.now() + path.delay) + path.takes(n);
        loop.at(
                inFree,
                () -> {
                    if (!ended && !path.cut) {
                        cameAt = read;
                        owner.came(this, bytes, bytes.length);
                    }
                });
    }

    /** Writes bytes as one piece. */
    void write(byte[] bytes) {
        write(bytes, 0);
    }

    /** Writes an answer as the network passes it on. */
    void answer(byte[] whole) {
        NetworkPath.Passage passage = path.answer(whole);
        long wait = 0;
        for (byte[] piece : passage.pieces()) {
            write(piece, wait);
            wait += NetworkPath.BETWEEN;
        }
        if (passage.thenReset()) {
            loop.at(Math.max(outFree, loop.now() + wait), this::reset);
        }
    }

    private void write(byte[] bytes, long wait) {
        if (ended || path.cut) {
            return;
        }
        long now = loop.now();
        if (wait == 0 && path.plain() && outFree <= now) {
            out.add(ByteBuffer.wrap(bytes));
            push();
            return;
        }
        outFree = Math.max(outFree, now + path.delay + wait) + path.takes(bytes.length);
        loop.at(
                outFree,
                () -> {
                    if (!ended && !path.cut) {
                        out.add(ByteBuffer.wrap(bytes));
                        push();
                    }
                });
    }

    private void push() {
        try {
            flush();
        } catch (IOException e) {
            end(true);
        }
    }

    private void flush() throws IOException {
        while (!out.isEmpty()) {
            channel.write(out.peek());
            if (out.peek().hasRemaining()) {
                key.interestOps(SelectionKey.OP_READ | SelectionKey.OP_WRITE);
                return;
            }
            out.poll();
        }
        if (closeAfterOut) {
            end(false);
        } else if (key.isValid() && key.interestOps() != 0) {
            key.interestOps(SelectionKey.OP_READ);
        }
    }

    boolean isOver() {
        return ended;
    }

    /** Ends it with a FIN, after what is written has gone out. */
    void close() {
        closeAfterOut = true;
        if (out.isEmpty() && outFree <= loop.now()) {
            end(false);
        } else if (outFree > loop.now()) {
            loop.at(outFree + 1, this::push);
        }
    }

    /** Ends it with an RST at once. */
    void reset() {
        if (!ended && channel != null) {
            try {
                channel.setOption(StandardSocketOptions.SO_LINGER, 0);
            } catch (IOException e) {
                // It ends with a FIN then.
            }
            end(true);
        }
    }

    /** The one place where the channel is closed. */
    private void end(boolean byReset) {
        if (ended) {
            return;
        }
        ended = true;
        try {
            if (channel != null) {
                channel.close();
            }
        } catch (IOException e) {
            // It is closed all the same.
        }
        owner.ended(this, byReset);
    }
}
