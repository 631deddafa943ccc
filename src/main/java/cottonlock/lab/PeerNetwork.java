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
 * Stands between the proxies of a tier: each is known to the others by an address of the lab's,
 * where what is sent to it comes, and from where what it sends goes on. So each way of each pair
 * can be cut or spoilt, and what passed is known without asking anybody. Lives on the loop's
 * thread.
 */
final class PeerNetwork {
    private static final long SECOND = 1_000_000_000L;

    /** Datagrams kept to be sent again as a forger would. */
    private static final int KEPT = 256;

    private static final int LONGEST = 2_048;

    /** One proxy's address, and what came from it within the last second. */
    private final class Place implements EventLoop.ReadyHandler {
        final int number;
        final DatagramChannel channel;
        final InetSocketAddress address;
        InetSocketAddress real;
        private final Deque<long[]> sent = new ArrayDeque<>();
        private long bytes;
        long worst;
        long total;

        Place(int number) throws IOException {
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
                Integer sender = byReal.get(from.getPort());
                if (sender != null) {
                    byte[] datagram = new byte[buffer.flip().remaining()];
                    buffer.get(datagram);
                    places.get(sender).count(datagram.length);
                    keep(datagram);
                    for (PeerPaths.Copy copy : paths.pass(sender, number, datagram)) {
                        loop.after(copy.after(), () -> deliver(sender, number, copy.bytes()));
                    }
                }
            }
        }

        private void count(int length) {
            long now = loop.now();
            sent.add(new long[] {now, length});
            bytes += length;
            total += length;
            while (sent.peek()[0] <= now - SECOND) {
                bytes -= sent.poll()[1];
            }
            worst = Math.max(worst, bytes);
        }
    }

    private final EventLoop loop;
    private final ByteBuffer buffer = ByteBuffer.allocate(LONGEST);
    private final List<Place> places = new ArrayList<>();
    private final Map<Integer, Integer> byReal = new HashMap<>();
    private final PeerPaths paths;
    private final SplittableRandom chance;
    private final List<byte[]> kept = new ArrayList<>();
    private long seen;
    private long forged;

    PeerNetwork(EventLoop loop, long seed, int proxies) throws IOException {
        this.loop = loop;
        this.paths = new PeerPaths(seed, proxies);
        this.chance = new SplittableRandom(seed ^ 0x5eed);
        for (int p = 0; p < proxies; p++) {
            places.add(new Place(p));
        }
    }

    /** The address by which the others know a proxy. */
    InetSocketAddress address(int proxy) {
        return places.get(proxy).address;
    }

    /** Where a proxy really listens. */
    void listens(int proxy, InetSocketAddress real) {
        places.get(proxy).real = real;
        byReal.put(real.getPort(), proxy);
    }

    PeerPaths paths() {
        return paths;
    }

    private void deliver(int from, int to, byte[] datagram) {
        if (paths.isCut(from, to)) {
            return;
        }
        try {
            places.get(from).channel.send(ByteBuffer.wrap(datagram), places.get(to).real);
        } catch (IOException e) {
            // Nobody listens there just now: it is lost.
        }
    }

    private void keep(byte[] datagram) {
        seen++;
        if (kept.size() < KEPT) {
            kept.add(datagram);
        } else {
            // Any that was ever sent is as likely to be there: old ones come back from former
            // lives.
            long at = chance.nextLong(seen);
            if (at < KEPT) {
                kept.set((int) at, datagram);
            }
        }
    }

    /**
     * Sends what nobody of the fleet has sent: old datagrams, changed ones, and bytes of any kind.
     */
    void forge() {
        int from = chance.nextInt(places.size());
        int to = chance.nextInt(places.size());
        byte[] datagram;
        if (kept.isEmpty() || chance.nextInt(4) == 0) {
            datagram = new byte[chance.nextInt(300)];
            for (int i = 0; i < datagram.length; i++) {
                datagram[i] = (byte) chance.nextInt(256);
            }
            if (datagram.length > 0 && chance.nextBoolean()) {
                datagram[0] = (byte) 0xfb;
            }
        } else {
            datagram = kept.get(chance.nextInt(kept.size())).clone();
            for (int changes = chance.nextInt(4); changes > 0; changes--) {
                datagram[chance.nextInt(datagram.length)] ^= (byte) (1 << chance.nextInt(8));
            }
        }
        forged++;
        deliver(from, to, datagram);
    }

    /** The most bytes that any proxy sent within a second. */
    long worstSecond() {
        return places.stream().mapToLong(p -> p.worst).max().orElse(0);
    }

    /** Bytes a second that one proxy sent over so many nanoseconds, in the mean. */
    double mean(long nanos) {
        return places.stream().mapToLong(p -> p.total).sum()
                * 1e9
                / Math.max(1, nanos)
                / places.size();
    }

    long forgeries() {
        return forged;
    }

    void close() {
        for (Place place : places) {
            try {
                place.channel.close();
            } catch (IOException e) {
                // It is closed all the same.
            }
        }
    }
}
