package cottonlock.lab;

import cottonlock.core.Deterministic;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The faults of the network between proxies, for datagrams of each ordered pair. The random
 * generator of a pair depends on the seed and the pair alone. Faults set and reset the values; the
 * last one set counts.
 */
@Deterministic
final class PeerPaths {

    /** One direction of one pair. */
    private static final class DirectedPath {
        final SplittableRandom random;

        /** The number of faults that cut it at present. */
        int activeCuts;

        double lossProbability;
        double duplicationProbability;
        double corruptionProbability;
        long maxDelayNanos;

        DirectedPath(SplittableRandom random) {
            this.random = random;
        }
    }

    /** A copy of a datagram that is delivered after a delay. */
    static final class Copy {
        private final byte[] bytes;
        private final long delayNanos;

        Copy(byte[] bytes, long delayNanos) {
            this.bytes = bytes;
            this.delayNanos = delayNanos;
        }

        /** The datagram's bytes, shared with its other copies. */
        byte[] bytes() {
            return bytes;
        }

        /** The delay until it is delivered, in nanoseconds. */
        long delayNanos() {
            return delayNanos;
        }
    }

    private final DirectedPath[][] paths;

    PeerPaths(long seed, int proxies) {
        paths = new DirectedPath[proxies][proxies];
        for (int from = 0; from < proxies; from++) {
            for (int to = 0; to < proxies; to++) {
                paths[from][to] =
                        new DirectedPath(
                                new SplittableRandom(seed * 1_000_003 + from * 4_099L + to));
            }
        }
    }

    void setCut(int from, int to, boolean off) {
        paths[from][to].activeCuts += off ? 1 : -1;
    }

    boolean isCut(int from, int to) {
        return paths[from][to].activeCuts > 0;
    }

    void setLoss(int from, int to, double probability) {
        paths[from][to].lossProbability = probability;
    }

    void setDuplication(int from, int to, double probability) {
        paths[from][to].duplicationProbability = probability;
    }

    void setCorruption(int from, int to, double probability) {
        paths[from][to].corruptionProbability = probability;
    }

    /**
     * Delays each datagram by a random time below this, evenly distributed, so that datagrams
     * overtake one another.
     */
    void setMaxDelay(int from, int to, long nanos) {
        paths[from][to].maxDelayNanos = nanos;
    }

    /** The copies of a datagram that are delivered; none if it is lost. */
    List<Copy> transmit(int from, int to, byte[] datagram) {
        DirectedPath path = paths[from][to];
        List<Copy> copies = new ArrayList<>();
        if (path.activeCuts > 0) {
            return copies;
        }
        int copyCount =
                path.duplicationProbability > 0
                                && path.random.nextDouble() < path.duplicationProbability
                        ? 2
                        : 1;
        for (int i = 0; i < copyCount; i++) {
            if (path.lossProbability > 0 && path.random.nextDouble() < path.lossProbability) {
                continue;
            }
            byte[] bytes = datagram;
            if (path.corruptionProbability > 0
                    && datagram.length > 0
                    && path.random.nextDouble() < path.corruptionProbability) {
                bytes = datagram.clone();
                bytes[path.random.nextInt(bytes.length)] ^= (byte) (1 << path.random.nextInt(8));
            }
            copies.add(
                    new Copy(
                            bytes,
                            path.maxDelayNanos > 0 ? path.random.nextLong(path.maxDelayNanos) : 0));
        }
        return copies;
    }
}
