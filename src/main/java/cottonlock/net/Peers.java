package cottonlock.net;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.util.Arrays;
import java.util.List;
import java.util.Set;

/** The datagrams between the balancers of a tier; without an address of its own it does nothing. */
final class Peers implements Runnable {
    /** The protocol's limit for one datagram. */
    private static final int LONGEST = 256;

    private final DatagramSocket socket;
    private final Set<InetSocketAddress> others;
    private final InetSocketAddress all;
    private final ModuleActor module;
    private final Log log;

    /** Any address may be null where the settings give none. Shares: with another process of this proxy. */
    Peers(InetSocketAddress own, boolean shares, List<InetSocketAddress> others, InetSocketAddress all,
          ModuleActor module, Log log) throws IOException {
        this.socket = own == null || all == null ? null : new DatagramSocket(null);
        if (socket != null) {
            socket.setOption(StandardSocketOptions.SO_REUSEPORT, shares);
            socket.bind(own);
        }
        this.others = Set.copyOf(others);
        this.all = all;
        this.module = module;
        this.log = log;
    }

    /** Sends a datagram, or loses it. */
    void tell(byte[] message) {
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
                if (packet.getLength() > LONGEST || !others.contains(packet.getSocketAddress())) {
                    log.warn("peers", "dropped an odd datagram from " + packet.getAddress().getHostAddress());
                } else {
                    module.heard(Arrays.copyOf(packet.getData(), packet.getLength()));
                }
            } catch (IOException e) {
                if (!socket.isClosed()) {
                    log.info("peers", "a datagram could not be received: " + e.getMessage());
                }
            }
        }
    }

    void close() {
        if (socket != null) {
            socket.close();
        }
    }
}
