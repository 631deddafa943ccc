package cottonlock.proxy.control;

import cottonlock.concurrent.RunCompletion;
import cottonlock.proxy.io.RateLimitedLog;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Sends and receives the datagrams between the load balancers of a tier. Does nothing if no address
 * is configured for them. Datagrams may be lost. Its own thread receives; any thread may send.
 */
public final class PeerMessenger implements Runnable {
    /** The protocol's limit for one datagram. */
    private static final int MAX_DATAGRAM_BYTES = 256;

    /** Null: nothing is sent or received. */
    private final DatagramSocket socket;

    private final Set<InetSocketAddress> peers;
    private final InetSocketAddress broadcastAddress;
    private final Consumer<byte[]> receiver;
    private final RateLimitedLog log;
    private final RunCompletion completion = new RunCompletion();

    /**
     * A messenger on an open socket.
     *
     * @param socket null if no listen address is configured
     * @param peers the addresses from which datagrams are accepted
     * @param broadcastAddress the address that reaches all peers; null if none is configured
     * @param receiver called with each peer's message, on the thread that received it
     */
    public PeerMessenger(
            DatagramSocket socket,
            List<InetSocketAddress> peers,
            InetSocketAddress broadcastAddress,
            Consumer<byte[]> receiver,
            RateLimitedLog log) {
        this.socket = broadcastAddress == null ? null : socket;
        this.peers = Set.copyOf(peers);
        this.broadcastAddress = broadcastAddress;
        this.receiver = receiver;
        this.log = log;
    }

    /**
     * Opens a socket.
     *
     * @param sharesPort whether another process of this proxy may bind the same address
     * @throws IOException with the address in its message
     */
    public static DatagramSocket openSocket(InetSocketAddress address, boolean sharesPort)
            throws IOException {
        DatagramSocket socket = new DatagramSocket(null);
        try {
            socket.setOption(StandardSocketOptions.SO_REUSEPORT, sharesPort);
            socket.bind(address);
            return socket;
        } catch (IOException e) {
            socket.close();
            String fault = "cannot listen for peers on " + address + ": " + e.getMessage();
            throw new IOException(fault, e);
        }
    }

    /** Sends a message to all peers; one that is too long or cannot be sent is dropped. */
    public void send(byte[] message) {
        if (socket == null || message.length > MAX_DATAGRAM_BYTES) {
            return;
        }
        try {
            socket.send(new DatagramPacket(message, message.length, broadcastAddress));
        } catch (IOException e) {
            log.info("peers", "a datagram could not be sent: " + e.getMessage());
        }
    }

    @Override
    public void run() {
        if (socket == null || !completion.begin()) {
            return;
        }
        try {
            receiveAll();
        } finally {
            completion.end();
        }
    }

    private void receiveAll() {
        // One byte more than the limit, to detect datagrams that are too long.
        int capacity = MAX_DATAGRAM_BYTES + 1;
        DatagramPacket packet = new DatagramPacket(new byte[capacity], capacity);
        while (!socket.isClosed()) {
            try {
                packet.setLength(capacity);
                socket.receive(packet);
                receive(packet.getSocketAddress(), packet.getData(), packet.getLength());
            } catch (IOException e) {
                if (!socket.isClosed()) {
                    log.info("peers", "a datagram could not be received: " + e.getMessage());
                }
            }
        }
    }

    /** Handles a datagram that this thread or another one has received. */
    public void receive(SocketAddress from, byte[] bytes, int length) {
        if (length > MAX_DATAGRAM_BYTES || !peers.contains(from)) {
            log.warn("peers", "dropped a datagram that is too long or not from a peer: " + from);
        } else {
            receiver.accept(Arrays.copyOf(bytes, length));
        }
    }

    /**
     * Closes the socket. When this returns, {@link #run} has returned, the address is free, and the
     * receiver is not called any more.
     */
    public void close() {
        completion.close();
        if (socket != null) {
            socket.close();
        }
        completion.awaitEnd();
    }
}
