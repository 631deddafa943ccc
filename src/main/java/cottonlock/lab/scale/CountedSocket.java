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

    /** What passed within the second; told from any thread. */
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

        /** Bytes in and out, messages in and out since it was last asked. */
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

    /** What passes between hollow proxies and real ones, as the hollow ones see it. */
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
