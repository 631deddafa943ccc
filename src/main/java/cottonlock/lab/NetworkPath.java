package cottonlock.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The simulated network between the proxies and one backend, with its present faults. Faults set
 * and reset its fields; if one kind of fault is set several times, the last one counts.
 */
final class NetworkPath {
    /**
     * The pause between two pieces of a split response, in nanoseconds: longer than a proxy needs
     * to read the first piece.
     */
    static final long SPLIT_PAUSE_NANOS = 300_000;

    /** The added delay in each direction, in nanoseconds. */
    long delayNanos;

    /** The bandwidth in bytes per second, in each direction of each connection; 0 for no limit. */
    long bytesPerSecond;

    /**
     * The network drops everything silently: no FIN, no RST, and no new connection is established.
     */
    boolean cut;

    /** The probability that a response is cut off at a random byte by a reset. */
    double resetProbability;

    /** The probability that a response is written in pieces, split at random bytes. */
    double splitProbability;

    /** The probability that one bit among the first 24 bytes of a response is changed. */
    double corruptionProbability;

    private final SplittableRandom random;

    NetworkPath(SplittableRandom random) {
        this.random = random;
    }

    /** How a response is transmitted to the proxy. */
    record Transmission(List<byte[]> pieces, boolean thenReset) {}

    Transmission transmit(byte[] response) {
        byte[] bytes = response;
        if (corruptionProbability > 0 && random.nextDouble() < corruptionProbability) {
            bytes = response.clone();
            // Only the first bytes, mostly the status line: a changed body would pass for a correct
            // one anywhere.
            int position = random.nextInt(Math.min(bytes.length, 24));
            bytes[position] = (byte) (bytes[position] ^ 1 << random.nextInt(7));
        }
        if (resetProbability > 0 && random.nextDouble() < resetProbability) {
            byte[] part = java.util.Arrays.copyOf(bytes, random.nextInt(bytes.length));
            return new Transmission(List.of(part), true);
        }
        if (splitProbability > 0 && random.nextDouble() < splitProbability && bytes.length > 3) {
            List<byte[]> pieces = new ArrayList<>();
            int from = 0;
            while (from < bytes.length && pieces.size() < 4) {
                int to = from + 1 + random.nextInt(bytes.length - from);
                pieces.add(java.util.Arrays.copyOfRange(bytes, from, to));
                from = to;
            }
            if (from < bytes.length) {
                pieces.add(java.util.Arrays.copyOfRange(bytes, from, bytes.length));
            }
            return new Transmission(pieces, false);
        }
        return new Transmission(List.of(bytes), false);
    }

    /** The time that this number of bytes takes at the bandwidth limit, in nanoseconds. */
    long transferNanos(int bytes) {
        return bytesPerSecond <= 0 ? 0 : bytes * 1_000_000_000L / bytesPerSecond;
    }

    /** Whether bytes pass without delay, so that none need to be queued. */
    boolean isUnrestricted() {
        return delayNanos == 0 && bytesPerSecond == 0 && !cut;
    }
}
