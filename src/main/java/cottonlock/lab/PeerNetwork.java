package cottonlock.lab;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * The simulated network between the proxies of a tier. The other proxies know each proxy by an
 * address of the lab: datagrams to it arrive there, and its own datagrams are forwarded from there.
 * So each direction of each pair can be cut or disturbed, and the traffic is measured without
 * asking the proxies. Runs on the loop's thread.
 */
final class PeerNetwork {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    /** The number of datagrams recorded for forged copies. */
    private static final int MAX_RECORDED_DATAGRAMS = 256;

    private static final int MAX_DATAGRAM_BYTES = 2_048;

    /** One proxy's address in the lab, and the traffic that the proxy sent. */
    private final class Endpoint implements EventLoop.ReadyHandler {
        final int number;
        final DatagramChannel channel;
        final InetSocketAddress address;
        InetSocketAddress proxyAddress;
        private final Deque<long[]> sentInLastSecond = new ArrayDeque<>();
        private long bytesInLastSecond;
        long maxBytesInSecond;
        long totalBytes;

        Endpoint(int number) throws IOException {
            this.number = number;
            channel = DatagramChannel.open();
            channel.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            address = (InetSocketAddress) channel.getLocalAddress();
            loop.register(channel, SelectionKey.OP_READ, this);
        }

        @Override
        public void onReady(SelectionKey key) throws IOException {
            while (true) {
                buffer.clear();
                InetSocketAddress from = (InetSocketAddress) channel.receive(buffer);
                if (from == null) {
                    return;
                }
                Integer sender = proxyByPort.get(from.getPort());
                if (sender != null) {
                    byte[] datagram = new byte[buffer.flip().remaining()];
                    buffer.get(datagram);
                    endpoints.get(sender).recordSent(datagram.length);
                    recordDatagram(datagram);
                    for (PeerPaths.Copy copy : paths.transmit(sender, number, datagram)) {
                        loop.after(copy.delayNanos(), () -> deliver(sender, number, copy.bytes()));
                    }
                }
            }
        }

        private void recordSent(int length) {
            long now = loop.now();
            sentInLastSecond.add(new long[] {now, length});
            bytesInLastSecond += length;
            totalBytes += length;
            while (sentInLastSecond.peek()[0] <= now - NANOS_PER_SECOND) {
                bytesInLastSecond -= sentInLastSecond.poll()[1];
            }
            maxBytesInSecond = Math.max(maxBytesInSecond, bytesInLastSecond);
        }
    }

    private final EventLoop loop;
    private final ByteBuffer buffer = ByteBuffer.allocate(MAX_DATAGRAM_BYTES);
    private final List<Endpoint> endpoints = new ArrayList<>();
    private final Map<Integer, Integer> proxyByPort = new HashMap<>();
    private final PeerPaths paths;
    private final SplittableRandom random;
    private final List<byte[]> recorded = new ArrayList<>();
    private long datagramsSeen;
    private long forgedCount;

    PeerNetwork(EventLoop loop, long seed, int proxies) throws IOException {
        this.loop = loop;
        this.paths = new PeerPaths(seed, proxies);
        this.random = new SplittableRandom(seed ^ 0x5eed);
        for (int p = 0; p < proxies; p++) {
            endpoints.add(new Endpoint(p));
        }
    }

    /** The address by which the other proxies know this one. */
    InetSocketAddress address(int proxy) {
        return endpoints.get(proxy).address;
    }

    /** Sets the address on which a proxy really listens. */
    void setProxyAddress(int proxy, InetSocketAddress proxyAddress) {
        endpoints.get(proxy).proxyAddress = proxyAddress;
        proxyByPort.put(proxyAddress.getPort(), proxy);
    }

    PeerPaths paths() {
        return paths;
    }

    private void deliver(int from, int to, byte[] datagram) {
        if (paths.isCut(from, to)) {
            return;
        }
        try {
            endpoints
                    .get(from)
                    .channel
                    .send(ByteBuffer.wrap(datagram), endpoints.get(to).proxyAddress);
        } catch (IOException e) {
            // No socket listens there at the moment: the datagram is lost.
        }
    }

    private void recordDatagram(byte[] datagram) {
        datagramsSeen++;
        if (recorded.size() < MAX_RECORDED_DATAGRAMS) {
            recorded.add(datagram);
        } else {
            // Reservoir sampling: each datagram sent so far is equally likely to be kept, so old
            // ones from earlier processes are sent again.
            long index = random.nextLong(datagramsSeen);
            if (index < MAX_RECORDED_DATAGRAMS) {
                recorded.set((int) index, datagram);
            }
        }
    }

    /**
     * Sends a datagram that no proxy has sent now: a recorded one, a changed one, or random bytes.
     */
    void forge() {
        int from = random.nextInt(endpoints.size());
        int to = random.nextInt(endpoints.size());
        byte[] datagram;
        if (recorded.isEmpty() || random.nextInt(4) == 0) {
            datagram = new byte[random.nextInt(300)];
            for (int i = 0; i < datagram.length; i++) {
                datagram[i] = (byte) random.nextInt(256);
            }
            if (datagram.length > 0 && random.nextBoolean()) {
                datagram[0] = (byte) 0xfb;
            }
        } else {
            datagram = recorded.get(random.nextInt(recorded.size())).clone();
            for (int changes = random.nextInt(4); changes > 0; changes--) {
                datagram[random.nextInt(datagram.length)] ^= (byte) (1 << random.nextInt(8));
            }
        }
        forgedCount++;
        deliver(from, to, datagram);
    }

    /** The largest number of bytes that any proxy sent within a second. */
    long maxBytesPerSecond() {
        return endpoints.stream().mapToLong(p -> p.maxBytesInSecond).max().orElse(0);
    }

    /** The mean number of bytes per second that one proxy sent over this time. */
    double meanBytesPerSecond(long nanos) {
        return endpoints.stream().mapToLong(p -> p.totalBytes).sum()
                * 1e9
                / Math.max(1, nanos)
                / endpoints.size();
    }

    long forgeries() {
        return forgedCount;
    }

    void close() {
        for (Endpoint endpoint : endpoints) {
            try {
                endpoint.channel.close();
            } catch (IOException e) {
                // The channel is closed anyway.
            }
        }
    }
}
