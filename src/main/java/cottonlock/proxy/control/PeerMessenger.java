package cottonlock.proxy.control;

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

/** The datagrams between the balancers of a tier; without an address of its own it does nothing. */
public final class PeerMessenger implements Runnable {
    /** The protocol's limit for one datagram. */
    private static final int LONGEST = 256;

    private final DatagramSocket socket;
    private final Set<InetSocketAddress> others;
    private final InetSocketAddress all;
    private final Consumer<byte[]> receiver;
    private final RateLimitedLog log;

    /** Socket and address may be null where the settings give none. */
    public PeerMessenger(
            DatagramSocket socket,
            List<InetSocketAddress> others,
            InetSocketAddress all,
            Consumer<byte[]> receiver,
            RateLimitedLog log) {
        this.socket = all == null ? null : socket;
        this.others = Set.copyOf(others);
        this.all = all;
        this.receiver = receiver;
        this.log = log;
    }

    /** A socket at an address; shares: with another process of this proxy. */
    public static DatagramSocket socket(InetSocketAddress own, boolean shares) throws IOException {
        DatagramSocket socket = new DatagramSocket(null);
        try {
            socket.setOption(StandardSocketOptions.SO_REUSEPORT, shares);
            socket.bind(own);
            return socket;
        } catch (IOException e) {
            socket.close();
            throw new IOException("cannot listen for peers on " + own + ": " + e.getMessage(), e);
        }
    }

    /** Sends a datagram, or loses it. */
    public void tell(byte[] message) {
        if (socket == null || message.length > LONGEST) {
            return;
        }
        try {
            socket.send(new DatagramPacket(message, message.length, all));
        } catch (IOException e) {
            log.info("peers", "a datagram could not be sent: " + e.getMessage());
        }
    }

    @Override
    public void run() {
        if (socket == null) {
            return;
        }
        DatagramPacket packet = new DatagramPacket(new byte[LONGEST + 1], LONGEST + 1);
        while (!socket.isClosed()) {
            try {
                packet.setLength(LONGEST + 1);
                socket.receive(packet);
                came(packet.getSocketAddress(), packet.getData(), packet.getLength());
            } catch (IOException e) {
                if (!socket.isClosed()) {
                    log.info("peers", "a datagram could not be received: " + e.getMessage());
                }
            }
        }
    }

    /** What has come at the socket, whoever has read it. */
    public void came(SocketAddress from, byte[] bytes, int length) {
        if (length > LONGEST || !others.contains(from)) {
            log.warn("peers", "dropped an odd datagram from " + from);
        } else {
            receiver.accept(Arrays.copyOf(bytes, length));
        }
    }

    public void close() {
        if (socket != null) {
            socket.close();
        }
    }
}
