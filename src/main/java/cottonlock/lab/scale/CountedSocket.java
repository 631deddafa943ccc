package cottonlock.lab.scale;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;

/**
 * The socket of a hollow proxy: it counts what passes, and loses what comes from or goes to a zone
 * that its own is cut off from, as a network does. The receiver's side cuts too, for real proxies'
 * sockets don't.
 */
final class CountedSocket extends DatagramSocket {
    /** Which zones are cut off from each other; one for all proxies of the process. */
    static final class Cuts {
        private volatile boolean[][] between = new boolean[0][0];

        void set(boolean[][] cut) {
            between = cut;
        }

        boolean cut(int one, int other) {
            boolean[][] now = between;
            return one >= 0
                    && other >= 0
                    && one < now.length
                    && other < now.length
                    && now[one][other];
        }
    }

    /** What passed within the second; told from any thread. */
    static final class Traffic {
        private long in;
        private long out;
        private long messagesIn;
        private long messagesOut;

        synchronized void came(int bytes) {
            in += bytes;
            messagesIn++;
        }

        synchronized void went(int bytes) {
            out += bytes;
            messagesOut++;
        }

        /** Bytes in and out, messages in and out since it was last asked. */
        synchronized long[] take() {
            long[] taken = {in, out, messagesIn, messagesOut};
            in = 0;
            out = 0;
            messagesIn = 0;
            messagesOut = 0;
            return taken;
        }
    }

    private final int zone;
    private final Cuts cuts;
    private final Traffic own;

    /** What passes between hollow proxies and real ones, as the hollow ones see it. */
    private final Traffic real;

    private final java.util.Set<java.net.InetAddress> realOnes;

    CountedSocket(
            InetSocketAddress address,
            Cuts cuts,
            Traffic own,
            Traffic real,
            java.util.Set<java.net.InetAddress> realOnes)
            throws IOException {
        super(address);
        this.zone = zone(address);
        this.cuts = cuts;
        this.own = own;
        this.real = real;
        this.realOnes = realOnes;
    }

    private static int zone(InetSocketAddress address) {
        return Topology.zoneOf(address.getAddress().getAddress()[1] & 0xff);
    }

    @Override
    public void send(DatagramPacket packet) throws IOException {
        InetSocketAddress to = (InetSocketAddress) packet.getSocketAddress();
        own.went(packet.getLength());
        if (realOnes.contains(to.getAddress())) {
            real.came(packet.getLength());
        }
        if (!cuts.cut(zone, zone(to))) {
            super.send(packet);
        }
    }

    @Override
    public void receive(DatagramPacket packet) throws IOException {
        int room = packet.getLength();
        while (true) {
            packet.setLength(room);
            super.receive(packet);
            InetSocketAddress from = (InetSocketAddress) packet.getSocketAddress();
            if (!cuts.cut(zone, zone(from))) {
                own.came(packet.getLength());
                if (realOnes.contains(from.getAddress())) {
                    real.went(packet.getLength());
                }
                return;
            }
        }
    }
}
