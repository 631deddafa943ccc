package cottonlock.lab.scale;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;

/**
 * The socket of a hollow (simulated) proxy: it counts datagrams and drops those to and from zones
 * that the proxy's zone is cut off from, as a network partition does. Received datagrams are
 * dropped too, since the sockets of real proxies don't drop what they send.
 */
final class CountedSocket extends DatagramSocket {
    /**
     * The pairs of zones that are cut off from each other, shared by all proxies of the process.
     */
    static final class Cuts {
        private volatile boolean[][] cutZonePairs = new boolean[0][0];

        void set(boolean[][] cut) {
            cutZonePairs = cut;
        }

        boolean isCut(int zone, int otherZone) {
            boolean[][] cutMatrix = cutZonePairs;
            return zone >= 0
                    && otherZone >= 0
                    && zone < cutMatrix.length
                    && otherZone < cutMatrix.length
                    && cutMatrix[zone][otherZone];
        }
    }

    /** Bytes and messages since the last call of {@link #take}; thread-safe. */
    static final class Traffic {
        private long bytesIn;
        private long bytesOut;
        private long messagesIn;
        private long messagesOut;

        synchronized void countReceived(int bytes) {
            bytesIn += bytes;
            messagesIn++;
        }

        synchronized void countSent(int bytes) {
            bytesOut += bytes;
            messagesOut++;
        }

        /** Returns and resets the bytes in and out and the messages in and out, in this order. */
        synchronized long[] take() {
            long[] taken = {bytesIn, bytesOut, messagesIn, messagesOut};
            bytesIn = 0;
            bytesOut = 0;
            messagesIn = 0;
            messagesOut = 0;
            return taken;
        }
    }

    private final int zone;
    private final Cuts cuts;
    private final Traffic ownTraffic;

    /**
     * The traffic between hollow and real proxies, counted from the real proxies' side: what a
     * hollow proxy sends is received here.
     */
    private final Traffic realTraffic;

    private final java.util.Set<java.net.InetAddress> realAddresses;

    CountedSocket(
            InetSocketAddress address,
            Cuts cuts,
            Traffic ownTraffic,
            Traffic realTraffic,
            java.util.Set<java.net.InetAddress> realAddresses)
            throws IOException {
        super(address);
        this.zone = zone(address);
        this.cuts = cuts;
        this.ownTraffic = ownTraffic;
        this.realTraffic = realTraffic;
        this.realAddresses = realAddresses;
    }

    private static int zone(InetSocketAddress address) {
        return Topology.zoneOf(address.getAddress().getAddress()[1] & 0xff);
    }

    @Override
    public void send(DatagramPacket packet) throws IOException {
        InetSocketAddress to = (InetSocketAddress) packet.getSocketAddress();
        ownTraffic.countSent(packet.getLength());
        if (realAddresses.contains(to.getAddress())) {
            realTraffic.countReceived(packet.getLength());
        }
        if (!cuts.isCut(zone, zone(to))) {
            super.send(packet);
        }
    }

    @Override
    public void receive(DatagramPacket packet) throws IOException {
        int bufferLength = packet.getLength();
        while (true) {
            packet.setLength(bufferLength);
            super.receive(packet);
            InetSocketAddress from = (InetSocketAddress) packet.getSocketAddress();
            if (!cuts.isCut(zone, zone(from))) {
                ownTraffic.countReceived(packet.getLength());
                if (realAddresses.contains(from.getAddress())) {
                    realTraffic.countSent(packet.getLength());
                }
                return;
            }
        }
    }
}
