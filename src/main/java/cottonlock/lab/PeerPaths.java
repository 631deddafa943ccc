package cottonlock.lab;

import cottonlock.core.Deterministic;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The network between proxies: what it does to datagrams on each ordered pair just now. A pair's
 * chance comes from the seed and the pair alone. Faults set and reset its values; the last one set
 * counts.
 */
@Deterministic
final class PeerPaths {

    /** One way of one pair. */
    private static final class Way {
        final SplittableRandom chance;

        /** By how many faults it is cut. */
        int cuts;

        double loss;
        double twice;
        double garble;
        long delay;

        Way(SplittableRandom chance) {
            this.chance = chance;
        }
    }

    /** A copy of a datagram that gets through, so many nanoseconds later. */
    static final class Copy {
        private final byte[] bytes;
        private final long after;

        Copy(byte[] bytes, long after) {
            this.bytes = bytes;
            this.after = after;
        }

        /** The datagram's bytes, shared with its other copies. */
        byte[] bytes() {
            return bytes;
        }

        /** Nanoseconds until it arrives. */
        long after() {
            return after;
        }
    }

    private final Way[][] ways;

    PeerPaths(long seed, int proxies) {
        ways = new Way[proxies][proxies];
        for (int from = 0; from < proxies; from++) {
            for (int to = 0; to < proxies; to++) {
                ways[from][to] =
                        new Way(new SplittableRandom(seed * 1_000_003 + from * 4_099L + to));
            }
        }
    }

    void cut(int from, int to, boolean off) {
        ways[from][to].cuts += off ? 1 : -1;
    }

    boolean isCut(int from, int to) {
        return ways[from][to].cuts > 0;
    }

    void loss(int from, int to, double part) {
        ways[from][to].loss = part;
    }

    void twice(int from, int to, double part) {
        ways[from][to].twice = part;
    }

    void garble(int from, int to, double part) {
        ways[from][to].garble = part;
    }

    /**
     * Each datagram takes longer, by a time drawn evenly up to this: so they overtake one another.
     */
    void delay(int from, int to, long most) {
        ways[from][to].delay = most;
    }

    /** What becomes of a datagram. */
    List<Copy> pass(int from, int to, byte[] datagram) {
        Way way = ways[from][to];
        List<Copy> copies = new ArrayList<>();
        if (way.cuts > 0) {
            return copies;
        }
        int times = way.twice > 0 && way.chance.nextDouble() < way.twice ? 2 : 1;
        for (int i = 0; i < times; i++) {
            if (way.loss > 0 && way.chance.nextDouble() < way.loss) {
                continue;
            }
            byte[] bytes = datagram;
            if (way.garble > 0 && datagram.length > 0 && way.chance.nextDouble() < way.garble) {
                bytes = datagram.clone();
                bytes[way.chance.nextInt(bytes.length)] ^= (byte) (1 << way.chance.nextInt(8));
            }
            copies.add(new Copy(bytes, way.delay > 0 ? way.chance.nextLong(way.delay) : 0));
        }
        return copies;
    }
}
